package org.fescueloom.work;

/**
 * Names a block of tasks of one step, whose records are stored together.
 *
 * @param occurrence the number of the occurrence, from 0
 * @param step the number of the step, from 0
 * @param number the number of the block within the step, from 0
 */
public record TaskBlock(int occurrence, int step, int number) {
    /**
     * The maximum number of tasks in a block. The record of a task takes less than 1.8 KB, so that
     * a block stays below 230 KB; the log service takes records of 256 KiB.
     */
    public static final int MAX_TASKS = 128;

    /**
     * Returns the block of a task.
     *
     * @param task the key of the task, not null
     * @return the block, never null
     */
    public static TaskBlock of(TaskKey task) {
        return new TaskBlock(task.occurrence(), task.step(), task.index() / MAX_TASKS);
    }

    /**
     * Parses the form that {@link #text()} returns.
     *
     * @param text the text, not null
     * @return the block, never null
     * @throws IllegalArgumentException if the text has another form
     */
    public static TaskBlock parse(String text) {
        String[] parts = text.split("\\.");
        if (parts.length != 3) {
            throw new IllegalArgumentException("not a block of tasks: " + text);
        }
        return new TaskBlock(
                Integer.parseInt(parts[0]), Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
    }

    /**
     * Returns the three numbers, separated by dots.
     *
     * @return the text, never null
     */
    public String text() {
        return occurrence + "." + step + "." + number;
    }

    /**
     * Returns the index of the first task of this block.
     *
     * @return the index within the step, from 0
     */
    public int firstIndex() {
        return number * MAX_TASKS;
    }
}
