package org.fescueloom.work;

/** Names what is done on a transition of a task. */
public enum TaskAction {
    /** Counts the run against the attempts of the task. */
    COUNT_FAILURE
}
