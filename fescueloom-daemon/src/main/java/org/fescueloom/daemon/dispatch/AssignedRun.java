package org.fescueloom.daemon.dispatch;

import org.fescueloom.work.Resources;
import org.fescueloom.work.TaskKey;

/** Follows one run from the decision to start it until its end is known. */
final class AssignedRun {
    private final TaskKey task;
    private final int number;
    private final String boot;
    private final Resources room;
    private final boolean fresh;
    private boolean stored;
    private boolean seen;
    private boolean stopRequested;
    private long orderedMillis = Long.MIN_VALUE / 2;
    private long seenMillis;
    private String checkpoint = "";
    private long progressMillis;

    AssignedRun(TaskKey task, int number, String boot, Resources room, boolean fresh) {
        this.task = task;
        this.number = number;
        this.boot = boot;
        this.room = room;
        this.fresh = fresh;
    }

    TaskKey task() {
        return task;
    }

    int number() {
        return number;
    }

    String boot() {
        return boot;
    }

    Resources room() {
        return room;
    }

    /** Tells whether the run began here without a checkpoint, so that its time can be compared. */
    boolean fresh() {
        return fresh;
    }

    /** Tells whether the decision is stored, so that the order may be sent. */
    boolean stored() {
        return stored;
    }

    void markStored() {
        stored = true;
    }

    /** Tells whether the upstream has listed the run. */
    boolean seen() {
        return seen;
    }

    void markSeen(long nowMillis) {
        if (!seen) {
            seen = true;
            seenMillis = nowMillis;
        }
    }

    /** Notes a checkpoint; tells when it changed last. */
    void markCheckpoint(String newest, long nowMillis) {
        if (!newest.equals(checkpoint)) {
            checkpoint = newest;
            progressMillis = nowMillis;
        }
    }

    /** Returns when the checkpoint of the run changed last, or the run was first seen. */
    long progressMillis() {
        return Math.max(seenMillis, progressMillis);
    }

    long seenMillis() {
        return seenMillis;
    }

    boolean stopRequested() {
        return stopRequested;
    }

    void requestStop() {
        if (!stopRequested) {
            stopRequested = true;
            orderedMillis = Long.MIN_VALUE / 2;
        }
    }

    /** Tells whether an order about the run was sent within a time. */
    boolean orderedWithin(long millis, long nowMillis) {
        return nowMillis - orderedMillis < millis;
    }

    void markOrdered(long nowMillis) {
        orderedMillis = nowMillis;
    }
}
