package org.fescueloom.daemon.dispatch;

import java.util.Objects;
import java.util.Optional;
import org.fescueloom.loss.LossCause;
import org.fescueloom.schedule.CheckpointPace;
import org.fescueloom.work.Resources;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.TaskKey;

/** Tracks one run from its assignment to an agent until its end is reported. */
final class AssignedRun {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final TaskKey task;
    private final int number;
    private final StepSpec spec;
    private final boolean startedWithoutCheckpoint;
    private String boot;
    private boolean stored;
    private boolean restored;
    private boolean listed;

    /** Why the stop was requested first; null if it was not. */
    private LossCause stopCause;

    /** Before the first order: half of the minimum, so that time differences do not overflow. */
    private long orderSentMillis = Long.MIN_VALUE / 2;

    private long firstListedMillis;
    private String checkpoint = "";
    private long lastProgressMillis;
    private final CheckpointPace pace = new CheckpointPace();

    AssignedRun(
            TaskKey task,
            int number,
            String boot,
            StepSpec spec,
            boolean startedWithoutCheckpoint) {
        this.task = task;
        this.number = number;
        this.boot = boot;
        this.spec = spec;
        this.startedWithoutCheckpoint = startedWithoutCheckpoint;
    }

    TaskKey task() {
        return task;
    }

    int number() {
        return number;
    }

    /** Returns the boot ID of the incarnation of the upstream on which the run may exist. */
    String boot() {
        return boot;
    }

    /** Records that another incarnation of the upstream has started the run. */
    void moveTo(String newBoot) {
        boot = newBoot;
    }

    /** Returns the resources that the run reserves. */
    Resources resources() {
        return spec.reservedResources();
    }

    /** Tests whether the run lasts until its job is cancelled. */
    boolean endless() {
        return spec.endless();
    }

    /**
     * Tests whether this dispatcher started the run without a checkpoint, so that the duration of
     * the run can be compared with its estimate.
     */
    boolean startedWithoutCheckpoint() {
        return startedWithoutCheckpoint;
    }

    /** Tests whether the assignment is stored, so that orders for the run may be sent. */
    boolean stored() {
        return stored;
    }

    void markStored() {
        stored = true;
    }

    /**
     * Tests whether an earlier dispatcher has assigned the run, which may then have started and
     * ended.
     */
    boolean restored() {
        return restored;
    }

    /** Records that an earlier dispatcher has assigned the run. */
    void markRestored() {
        restored = true;
        stored = true;
    }

    /** Tests whether the upstream has listed the run. */
    boolean listed() {
        return listed;
    }

    void markListed(long nowMillis) {
        if (!listed) {
            listed = true;
            firstListedMillis = nowMillis;
        }
    }

    /** Records the newest checkpoint, and the time if the checkpoint differs from the last one. */
    void markCheckpoint(String newest, long nowMillis) {
        if (!newest.equals(checkpoint)) {
            checkpoint = newest;
            lastProgressMillis = nowMillis;
        }
    }

    /** Returns the measurement of the pace at which the run saves checkpoints. */
    CheckpointPace pace() {
        return pace;
    }

    /**
     * Returns when the checkpoint of the run last changed, or when the upstream first listed the
     * run if that is later.
     */
    long lastProgressMillis() {
        return Math.max(firstListedMillis, lastProgressMillis);
    }

    /** Returns when the upstream first listed the run, on the monotonic clock; 0 before that. */
    long firstListedMillis() {
        return firstListedMillis;
    }

    boolean stopRequested() {
        return stopCause != null;
    }

    /** Returns why the stop was requested first; empty if it was not. */
    Optional<LossCause> stopCause() {
        return Optional.ofNullable(stopCause);
    }

    /** Requests the stop of the run. A later request changes nothing, not even the cause. */
    void requestStop(LossCause cause) {
        Objects.requireNonNull(cause, "cause");
        if (stopCause == null) {
            stopCause = cause;
            // A start order that was just sent must not delay the stop order.
            orderSentMillis = Long.MIN_VALUE / 2;
        }
    }

    /**
     * Returns the work that is lost if the run ends without a result, in core-seconds: the
     * resources of the run for the time since its last checkpoint, or since the upstream first
     * listed the run if its step saves none. Returns 0 if the upstream has not listed the run, and
     * for an endless step, whose work has its effect while it runs. A checkpoint that the end names
     * and no poll has listed counts as saved at the end.
     *
     * @param endCheckpoint the checkpoint that the end names; empty if there is none
     */
    double lossCoreSeconds(String endCheckpoint, long nowMillis) {
        boolean savedAtEnd = !endCheckpoint.isEmpty() && !endCheckpoint.equals(checkpoint);
        if (!listed || spec.endless() || spec.checkpoints() && savedAtEnd) {
            return 0;
        }
        long since = spec.checkpoints() ? lastProgressMillis() : firstListedMillis;
        // The resources of stored jobs are not checked; an end must not fail because of them.
        return Math.max(0, resources().cores() * (nowMillis - since) / MILLIS_PER_SECOND);
    }

    /** Tests whether an order for the run was sent within the last {@code millis} milliseconds. */
    boolean orderSentWithin(long millis, long nowMillis) {
        return nowMillis - orderSentMillis < millis;
    }

    void markOrderSent(long nowMillis) {
        orderSentMillis = nowMillis;
    }
}
