package org.fescueloom.daemon.dispatch;

import org.fescueloom.work.Resources;
import org.fescueloom.work.TaskKey;

/** Follows one run from the decision to start it until its end is known. */
final class AssignedRun {
    private final TaskKey task;
    private final int number;
    private final String boot;
    private final Resources resources;
    private final boolean startedWithoutCheckpoint;
    private boolean stored;
    private boolean listed;
    private boolean stopRequested;
    private long orderSentMillis = Long.MIN_VALUE / 2;
    private long firstListedMillis;
    private String checkpoint = "";
    private long lastProgressMillis;

    AssignedRun(TaskKey task, int number, String boot, Resources room, boolean fresh) {
        this.task = task;
        this.number = number;
        this.boot = boot;
        this.resources = room;
        this.startedWithoutCheckpoint = fresh;
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

    Resources resources() {
        return resources;
    }

    /** Tells whether the run began here without a checkpoint, so that its time can be compared. */
    boolean startedWithoutCheckpoint() {
        return startedWithoutCheckpoint;
    }

    /** Tells whether the decision is stored, so that the order may be sent. */
    boolean stored() {
        return stored;
    }

    void markStored() {
        stored = true;
    }

    /** Tells whether the upstream has listed the run. */
    boolean listed() {
        return listed;
    }

    void markListed(long nowMillis) {
        if (!listed) {
            listed = true;
            firstListedMillis = nowMillis;
        }
    }

    /** Notes a checkpoint; tells when it changed last. */
    void markCheckpoint(String newest, long nowMillis) {
        if (!newest.equals(checkpoint)) {
            checkpoint = newest;
            lastProgressMillis = nowMillis;
        }
    }

    /** Returns when the checkpoint of the run changed last, or the run was first seen. */
    long lastProgressMillis() {
        return Math.max(firstListedMillis, lastProgressMillis);
    }

    long firstListedMillis() {
        return firstListedMillis;
    }

    boolean stopRequested() {
        return stopRequested;
    }

    void requestStop() {
        if (!stopRequested) {
            stopRequested = true;
            orderSentMillis = Long.MIN_VALUE / 2;
        }
    }

    /** Tells whether an order about the run was sent within a time. */
    boolean orderSentWithin(long millis, long nowMillis) {
        return nowMillis - orderSentMillis < millis;
    }

    void markOrderSent(long nowMillis) {
        orderSentMillis = nowMillis;
    }
}
