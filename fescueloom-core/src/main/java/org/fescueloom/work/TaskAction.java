package org.fescueloom.work;

/** Names the actions of the state chart {@code task}. */
public enum TaskAction {
    /** Count the run as a failed attempt of the task. */
    COUNT_FAILURE
}
