package org.fescueloom.standins.worker;

import java.util.concurrent.Future;
import org.fescueloom.wire.TaskReport;
import org.fescueloom.wire.TaskRequest;
import org.fescueloom.wire.TaskState;

/** Pretends to run a task: only its progress moves. Guarded by the lock of its worker. */
final class PretendTask {
    private static final int FULL_SPEED_PERCENT = 100;

    private final String id;
    private final long runMillis;
    private final boolean fails;
    private TaskState state = TaskState.RUNNING;
    private int percent = FULL_SPEED_PERCENT;
    private double progressMillis;
    private long checkpointMillis;
    private long updatedMillis;
    private Future<?> end;

    PretendTask(String id, TaskRequest request, boolean fails, long nowMillis) {
        this.id = id;
        this.fails = fails;
        runMillis = request.runMillis();
        progressMillis = request.resumeMillis();
        checkpointMillis = request.resumeMillis();
        updatedMillis = nowMillis;
    }

    String id() {
        return id;
    }

    boolean isRunning() {
        return state == TaskState.RUNNING;
    }

    boolean fails() {
        return fails;
    }

    /** Returns the time until the task ends at its present speed; -1 if it never does. */
    long remainingMillis() {
        if (percent == 0) {
            return -1L;
        }
        double left = Math.max(0.0, runMillis - progressMillis);
        return (long) Math.ceil(left * FULL_SPEED_PERCENT / percent);
    }

    void advance(long nowMillis) {
        if (isRunning()) {
            double worked = (nowMillis - updatedMillis) * (double) percent / FULL_SPEED_PERCENT;
            progressMillis = Math.min(runMillis, progressMillis + worked);
        }
        updatedMillis = nowMillis;
    }

    void checkpoint() {
        checkpointMillis = (long) progressMillis;
    }

    void throttle(int newPercent) {
        percent = newPercent;
    }

    void finish(TaskState last) {
        state = last;
        plan(null);
    }

    /** Replaces the timer that ends the task. */
    void plan(Future<?> timer) {
        if (end != null) {
            end.cancel(false);
        }
        end = timer;
    }

    TaskReport report() {
        return new TaskReport(id, state, (long) progressMillis, checkpointMillis);
    }
}
