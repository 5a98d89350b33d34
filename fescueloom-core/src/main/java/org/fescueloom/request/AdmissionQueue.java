package org.fescueloom.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;

/**
 * Decides which waiting attempt gets the next free slot.
 *
 * <p>Customers share the slots by start-time fair queueing: each start moves the virtual time of
 * its customer on by its service time over the guaranteed share, and the customer with the lowest
 * virtual time goes next. A customer that was idle starts at the virtual time of the busy ones, so
 * what it did not use is lent and comes back with the next slot that falls free. Inside a customer
 * the class with the higher priority goes first, then the earlier deadline.
 *
 * <p>An attempt that cannot meet its deadline behind those that go before it is refused on arrival.
 *
 * <p>Not safe for use by several threads at once.
 *
 * @param <T> the type of the work that attempts stand for
 */
public final class AdmissionQueue<T> {
    /** The share of a customer that has no guarantee. */
    public static final double UNGUARANTEED_SHARE = 0.01;

    /**
     * The factor on an expected wait: without it half of those that are taken in at the edge would
     * wait until their deadline is out of reach.
     */
    private static final double WAIT_MARGIN = 1.4;

    private static final long INITIAL_SERVICE_NANOS = 1_000_000;

    private final AdmissionLimits limits;
    private final ToDoubleFunction<String> shares;
    private final Map<String, Lane<T>> lanes = new HashMap<>();
    private final ServiceTimeEstimate overall = new ServiceTimeEstimate();
    private final Map<String, ServiceTimeEstimate> byClass = new HashMap<>();
    private int slots;
    private int running;
    private int queued;
    private long queuedBytes;
    private long arrivals;
    private double virtualTime;

    /**
     * Creates an empty queue without slots.
     *
     * @param limits bounds what waits, not null
     * @param shares returns the guaranteed share of a customer, from 0 to 1, not null
     */
    public AdmissionQueue(AdmissionLimits limits, ToDoubleFunction<String> shares) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.shares = Objects.requireNonNull(shares, "shares");
    }

    /**
     * Sets how many attempts may run at once.
     *
     * @param newSlots the number, not negative
     */
    public void setSlots(int newSlots) {
        if (newSlots < 0) {
            throw new IllegalArgumentException("slots must not be negative");
        }
        slots = newSlots;
    }

    /**
     * Adds an attempt to those that wait.
     *
     * @param attempt the attempt, not null
     * @param nowNanos the time
     * @throws SchedulerException if the attempt is refused: {@code CUSTOMER_QUEUE_FULL}, {@code
     *     UPSTREAM_FULL}, {@code DEADLINE_PASSED} or {@code DEADLINE_UNREACHABLE}, each with the
     *     time after which a retry may succeed
     */
    public void offer(QueuedAttempt<T> attempt, long nowNanos) {
        Lane<T> lane = lane(attempt.customer());
        Waiting<T> waiting = new Waiting<>(attempt, arrivals++);
        long waitNanos = expectedWaitNanos(lane, waiting);
        FailureType refusal = refusal(lane, waiting, waitNanos, nowNanos);
        if (refusal != null) {
            dropIfIdle(attempt.customer(), lane);
            throw new SchedulerException(
                    refusal,
                    "queued " + queued + ", expected wait " + waitNanos / 1_000_000 + " ms",
                    retryAfterMillis(refusal, waiting, waitNanos, nowNanos));
        }
        if (lane.isIdle()) {
            lane.virtualTime = Math.max(lane.virtualTime, virtualTime);
        }
        lane.waiting.add(waiting);
        queued++;
        queuedBytes += attempt.bytes();
    }

    /**
     * Gives a free slot to the attempt that goes next.
     *
     * @return the attempt, which now runs, or empty if no slot is free or none waits
     */
    public Optional<QueuedAttempt<T>> poll() {
        if (running >= slots || queued == 0) {
            return Optional.empty();
        }
        Lane<T> lane =
                lanes.values().stream()
                        .filter(l -> !l.waiting.isEmpty())
                        .min(Comparator.comparingDouble(l -> l.virtualTime))
                        .orElseThrow();
        Waiting<T> next = lane.waiting.pollFirst();
        queued--;
        queuedBytes -= next.attempt.bytes();
        running++;
        lane.running++;
        virtualTime = Math.max(virtualTime, lane.virtualTime);
        lane.virtualTime += estimatedServiceNanos() / lane.share();
        return Optional.of(next.attempt);
    }

    /**
     * Returns the slot of an attempt that ran.
     *
     * @param attempt the attempt, not null
     * @param elapsedNanos how long it ran, in nanoseconds, not negative
     * @param useful whether the time tells something about the service time, as that of a failure
     *     does not
     * @param nowNanos the time
     */
    public void finish(
            QueuedAttempt<T> attempt, long elapsedNanos, boolean countServiceTime, long nowNanos) {
        Lane<T> lane = lane(attempt.customer());
        lane.virtualTime += (elapsedNanos - estimatedServiceNanos()) / lane.share();
        lane.running = Math.max(0, lane.running - 1);
        running = Math.max(0, running - 1);
        if (countServiceTime) {
            overall.record(elapsedNanos, nowNanos);
            byClass.computeIfAbsent(attempt.serviceClass(), name -> new ServiceTimeEstimate())
                    .record(elapsedNanos, nowNanos);
        }
        dropIfIdle(attempt.customer(), lane);
    }

    /**
     * Takes out an attempt that waits.
     *
     * @param attempt the attempt, not null
     * @return false if it does not wait
     */
    public boolean remove(QueuedAttempt<T> attempt) {
        Lane<T> lane = lanes.get(attempt.customer());
        if (lane == null || !lane.waiting.removeIf(w -> w.attempt.equals(attempt))) {
            return false;
        }
        queued--;
        queuedBytes -= attempt.bytes();
        dropIfIdle(attempt.customer(), lane);
        return true;
    }

    /**
     * Takes out the waiting attempts that can no longer meet their deadlines.
     *
     * @param nowNanos the time
     * @return the attempts, never null
     */
    public List<QueuedAttempt<T>> removeWithUnreachableDeadline(long nowNanos) {
        List<QueuedAttempt<T>> late = new ArrayList<>();
        for (Lane<T> lane : lanes.values()) {
            for (Waiting<T> waiting : lane.waiting) {
                if (isDeadlineUnreachable(waiting.attempt, nowNanos)) {
                    late.add(waiting.attempt);
                }
            }
        }
        late.forEach(this::remove);
        return late;
    }

    /**
     * Tells whether an attempt can no longer meet its deadline, even if it starts now.
     *
     * @param attempt the attempt, not null
     * @param nowNanos the time
     * @return true if the deadline is nearer than the expected service time
     */
    public boolean isDeadlineUnreachable(QueuedAttempt<T> attempt, long nowNanos) {
        return nowNanos + serviceNanos(attempt, nowNanos) > attempt.deadlineNanos();
    }

    /**
     * Returns how many attempts wait.
     *
     * @return the number, not negative
     */
    public int queued() {
        return queued;
    }

    /**
     * Returns how many attempts run.
     *
     * @return the number, not negative
     */
    public int running() {
        return running;
    }

    /**
     * Returns how many bytes the waiting attempts hold.
     *
     * @return the bytes, not negative
     */
    public long queuedBytes() {
        return queuedBytes;
    }

    /**
     * Returns the recent mean service time.
     *
     * @return the time in microseconds, 0 before the first attempt ended
     */
    public long serviceMicros() {
        return Math.round(overall.meanNanos() / 1_000);
    }

    /**
     * Returns the time until the backlog of today is worked off.
     *
     * @return the time in milliseconds, at least 1
     */
    public long backlogMillis() {
        double rounds = (queued + running) / (double) Math.max(1, slots);
        return Math.max(1, (long) (rounds * estimatedServiceNanos() / 1_000_000));
    }

    private FailureType refusal(Lane<T> lane, Waiting<T> waiting, long waitNanos, long nowNanos) {
        long left = waiting.attempt.deadlineNanos() - nowNanos;
        if (left <= 0) {
            return FailureType.DEADLINE_PASSED;
        }
        if (lane.waiting.size() >= limits.maxQueuedPerCustomer()) {
            return FailureType.CUSTOMER_QUEUE_FULL;
        }
        if (queued >= limits.maxQueued()
                || queuedBytes + waiting.attempt.bytes() > limits.maxBytes()) {
            return FailureType.UPSTREAM_FULL;
        }
        double needed = WAIT_MARGIN * waitNanos + serviceNanos(waiting.attempt, nowNanos);
        return needed > left ? FailureType.DEADLINE_UNREACHABLE : null;
    }

    private long retryAfterMillis(
            FailureType refusal, Waiting<T> waiting, long waitNanos, long nowNanos) {
        long left = Math.max(0, waiting.attempt.deadlineNanos() - nowNanos);
        long spare = (long) Math.max(0, left - serviceNanos(waiting.attempt, nowNanos));
        long excess = Math.max(0, waitNanos - spare);
        return refusal == FailureType.DEADLINE_UNREACHABLE
                ? Math.max(1, excess / 1_000_000)
                : backlogMillis();
    }

    private long expectedWaitNanos(Lane<T> lane, Waiting<T> waiting) {
        if (running < slots && queued == 0) {
            return 0;
        }
        int ahead = lane.waiting.headSet(waiting).size();
        double busyShares = lane.share();
        for (Lane<T> other : lanes.values()) {
            if (other != lane && !other.isIdle()) {
                busyShares += other.share();
            }
        }
        double lanesSlots = Math.max(1, slots) * lane.share() / busyShares;
        double surplus = Math.max(0, lane.running - lanesSlots);
        double rounds = (ahead + surplus) / lanesSlots + 1.0 / Math.max(1, slots);
        return (long) (rounds * overall.meanNanos());
    }

    private double estimatedServiceNanos() {
        return overall.meanNanos() == 0 ? INITIAL_SERVICE_NANOS : overall.meanNanos();
    }

    private double serviceNanos(QueuedAttempt<T> attempt, long nowNanos) {
        ServiceTimeEstimate time = byClass.get(attempt.serviceClass());
        return time == null ? 0 : time.expectedNanos(nowNanos);
    }

    private Lane<T> lane(String customer) {
        return lanes.computeIfAbsent(customer, name -> new Lane<>(name, shares));
    }

    private void dropIfIdle(String customer, Lane<T> lane) {
        if (lane.isIdle() && lane.virtualTime <= virtualTime) {
            lanes.remove(customer);
        }
    }

    private record Waiting<T>(QueuedAttempt<T> attempt, long arrival)
            implements Comparable<Waiting<T>> {
        @Override
        public int compareTo(Waiting<T> other) {
            int order = Integer.compare(other.attempt.priority(), attempt.priority());
            if (order == 0) {
                order = Long.compare(attempt.deadlineNanos(), other.attempt.deadlineNanos());
            }
            return order == 0 ? Long.compare(arrival, other.arrival) : order;
        }
    }

    private static final class Lane<T> {
        private final String customer;
        private final ToDoubleFunction<String> shares;
        private final TreeSet<Waiting<T>> waiting = new TreeSet<>();
        private int running;
        private double virtualTime;

        private Lane(String customer, ToDoubleFunction<String> shares) {
            this.customer = customer;
            this.shares = shares;
        }

        private double share() {
            return Math.max(UNGUARANTEED_SHARE, shares.applyAsDouble(customer));
        }

        private boolean isIdle() {
            return waiting.isEmpty() && running == 0;
        }
    }
}
