package org.fescueloom.daemon.concurrent;

import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;

/** Creates timers that do not keep the process alive. */
public final class Timers {
    private Timers() {}

    /**
     * Creates a timer with one daemon thread. The timer drops a task as soon as the task is
     * cancelled.
     *
     * @param name the name of the thread, not null
     * @return the timer, never null
     */
    public static ScheduledExecutorService singleThread(String name) {
        Objects.requireNonNull(name, "name");
        ScheduledThreadPoolExecutor timer =
                new ScheduledThreadPoolExecutor(1, task -> daemonThread(task, name));
        timer.setRemoveOnCancelPolicy(true);
        return timer;
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }
}
