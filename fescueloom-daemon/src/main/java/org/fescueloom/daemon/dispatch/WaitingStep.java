package org.fescueloom.daemon.dispatch;

/**
 * Names a step of a job of which tasks wait.
 *
 * @param occurrence the number of the occurrence, from 0
 * @param step the number of the step, from 0
 */
record WaitingStep(int occurrence, int step) {}
