package org.fescueloom.standins.worker;

import java.util.concurrent.Future;
import org.fescueloom.wire.TaskReport;
import org.fescueloom.wire.TaskRequest;
import org.fescueloom.wire.TaskState;

/**
 * Simulates a task: computes the progress from the elapsed time and runs no command.
 *
 * <p>Guarded by the lock of {@link WorkerLeases}.
 */
final class SimulatedTask {
    private static final int FULL_SPEED_PERCENT = 100;

    private final String id;
    private final long runMillis;
    private final boolean failsByFault;
    private TaskState state = TaskState.RUNNING;
    private int speedPercent = FULL_SPEED_PERCENT;
    private double progressMillis;
    private long checkpointMillis;
    private long lastAdvanceMillis;
    private Future<?> endTimer;

    SimulatedTask(String id, TaskRequest request, boolean failsByFault, long nowMillis) {
        this.id = id;
        this.failsByFault = failsByFault;
        runMillis = request.runMillis();
        progressMillis = request.resumeMillis();
        checkpointMillis = request.resumeMillis();
        lastAdvanceMillis = nowMillis;
    }

    String id() {
        return id;
    }

    boolean isRunning() {
        return state == TaskState.RUNNING;
    }

    boolean failsByFault() {
        return failsByFault;
    }

    /** Returns the time until the task ends at its current speed; -1 if the speed is 0. */
    long remainingMillis() {
        if (speedPercent == 0) {
            return -1L;
        }
        double remainingRunMillis = Math.max(0.0, runMillis - progressMillis);
        return (long) Math.ceil(remainingRunMillis * FULL_SPEED_PERCENT / speedPercent);
    }

    /** Adds the progress since the last call, as long as the task runs. */
    void advance(long nowMillis) {
        if (isRunning()) {
            double addedMillis =
                    (nowMillis - lastAdvanceMillis) * (double) speedPercent / FULL_SPEED_PERCENT;
            progressMillis = Math.min(runMillis, progressMillis + addedMillis);
        }
        lastAdvanceMillis = nowMillis;
    }

    void checkpoint() {
        checkpointMillis = (long) progressMillis;
    }

    void throttle(int newSpeedPercent) {
        speedPercent = newSpeedPercent;
    }

    void finish(TaskState endState) {
        state = endState;
        replaceEndTimer(null);
    }

    /** Cancels the timer that ends the task, and keeps the given one instead; null for none. */
    void replaceEndTimer(Future<?> timer) {
        if (endTimer != null) {
            endTimer.cancel(false);
        }
        endTimer = timer;
    }

    TaskReport report() {
        return new TaskReport(id, state, (long) progressMillis, checkpointMillis);
    }
}
