package org.fescueloom.work;

/** Names the actions of the state chart {@code task}. */
public enum TaskAction {
    /** Add the run to the failures of the task. */
    COUNT_FAILURE
}
