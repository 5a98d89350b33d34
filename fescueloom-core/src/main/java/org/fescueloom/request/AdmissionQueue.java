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
 * Queues the attempts for one set of slots and decides which queued attempt gets the next free
 * slot.
 *
 * <p>Customers share the slots by start-time fair queueing. Each customer has a virtual time, and
 * the customer with the lowest virtual time is served next. The start of an attempt advances the
 * virtual time of its customer by the estimated service time divided by the share of the customer,
 * and the end of the attempt corrects the estimate to the measured time. A customer that was idle
 * resumes at the system virtual time, the highest virtual time at which an attempt has started,
 * unless its own virtual time is higher. Other customers can therefore use the share of an idle
 * customer, and the idle customer keeps no credit for that time. Among the attempts of one
 * customer, the service class with the higher priority goes first, then the earlier deadline.
 *
 * <p>An attempt is refused on arrival if it exceeds a limit on the queued attempts, or if it is
 * expected to miss its deadline because of the attempts ahead of it.
 *
 * <p>Not thread-safe.
 *
 * @param <T> the type of the work of an attempt
 */
public final class AdmissionQueue<T> {
    /** The minimum share of a customer, also used for a customer without a guaranteed share. */
    public static final double UNGUARANTEED_SHARE = 0.01;

    /**
     * Factor on the expected wait in the admission check. The expected wait is a mean: without the
     * factor, half of the attempts that only just pass the check would wait until their deadline is
     * unreachable.
     */
    private static final double WAIT_SAFETY_FACTOR = 1.4;

    /** The estimated service time before the first measured one. */
    private static final long INITIAL_SERVICE_NANOS = 1_000_000;

    private final AdmissionLimits limits;
    private final ToDoubleFunction<String> shares;
    private final Map<String, CustomerQueue<T>> customerQueues = new HashMap<>();
    private final ServiceTimeEstimate overallServiceTime = new ServiceTimeEstimate();
    private final Map<String, ServiceTimeEstimate> serviceTimeByClass = new HashMap<>();
    private int slots;
    private int running;
    private int queued;
    private long queuedBytes;
    private long arrivals;

    /** The highest virtual time of a customer at which one of its attempts has started. */
    private double systemVirtualTime;

    /**
     * Creates an empty queue without slots.
     *
     * @param limits the limits on the queued attempts, not null
     * @param shares returns the guaranteed share of a customer, from 0 to 1, not null
     */
    public AdmissionQueue(AdmissionLimits limits, ToDoubleFunction<String> shares) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.shares = Objects.requireNonNull(shares, "shares");
    }

    /**
     * Sets the number of attempts that may run at the same time.
     *
     * @param newSlots the number of slots, not negative
     */
    public void setSlots(int newSlots) {
        if (newSlots < 0) {
            throw new IllegalArgumentException("slots must not be negative: " + newSlots);
        }
        slots = newSlots;
    }

    /**
     * Adds an attempt to the queue.
     *
     * @param attempt the attempt, not null
     * @param nowNanos the current monotonic time, in nanoseconds
     * @throws SchedulerException if the attempt is refused: {@code CUSTOMER_QUEUE_FULL}, {@code
     *     UPSTREAM_FULL}, {@code DEADLINE_PASSED} or {@code DEADLINE_UNREACHABLE}, each with the
     *     time after which a retry may succeed; after {@code DEADLINE_PASSED} a retry also needs a
     *     later deadline
     */
    public void offer(QueuedAttempt<T> attempt, long nowNanos) {
        CustomerQueue<T> customerQueue = customerQueue(attempt.customer());
        OrderedAttempt<T> candidate = new OrderedAttempt<>(attempt, arrivals++);
        long waitNanos = expectedWaitNanos(customerQueue, candidate);
        FailureType refusal = refusal(customerQueue, candidate, waitNanos, nowNanos);
        if (refusal != null) {
            removeIfIdle(attempt.customer(), customerQueue);
            throw new SchedulerException(
                    refusal,
                    refusalDetail(refusal, attempt, customerQueue, waitNanos, nowNanos),
                    retryAfterMillis(refusal, candidate, waitNanos, nowNanos));
        }
        if (customerQueue.isIdle()) {
            customerQueue.virtualTime = Math.max(customerQueue.virtualTime, systemVirtualTime);
        }
        customerQueue.attempts.add(candidate);
        queued++;
        queuedBytes += attempt.bytes();
    }

    /**
     * Assigns a free slot to the next attempt.
     *
     * @return the attempt, which counts as running from now on, or empty if no slot is free or no
     *     attempt is queued
     */
    public Optional<QueuedAttempt<T>> poll() {
        if (running >= slots || queued == 0) {
            return Optional.empty();
        }
        CustomerQueue<T> customerQueue =
                customerQueues.values().stream()
                        .filter(q -> !q.attempts.isEmpty())
                        .min(Comparator.comparingDouble(q -> q.virtualTime))
                        .orElseThrow();
        OrderedAttempt<T> next = customerQueue.attempts.pollFirst();
        queued--;
        queuedBytes -= next.attempt.bytes();
        running++;
        customerQueue.running++;
        systemVirtualTime = Math.max(systemVirtualTime, customerQueue.virtualTime);
        customerQueue.virtualTime += meanServiceNanosOrInitial() / customerQueue.share();
        return Optional.of(next.attempt);
    }

    /**
     * Releases the slot of an attempt that has ended.
     *
     * @param attempt the attempt, not null
     * @param elapsedNanos the run time of the attempt, in nanoseconds, not negative
     * @param countServiceTime whether {@code elapsedNanos} counts as a sample of the service time;
     *     false for example after a failure
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void finish(
            QueuedAttempt<T> attempt, long elapsedNanos, boolean countServiceTime, long nowNanos) {
        CustomerQueue<T> customerQueue = customerQueue(attempt.customer());
        // Replaces the estimate that poll added. The correction is approximate, because the
        // estimate may have changed since.
        customerQueue.virtualTime +=
                (elapsedNanos - meanServiceNanosOrInitial()) / customerQueue.share();
        // The counters stay at 0 if an attempt ends that was not started by poll.
        customerQueue.running = Math.max(0, customerQueue.running - 1);
        running = Math.max(0, running - 1);
        if (countServiceTime) {
            overallServiceTime.record(elapsedNanos, nowNanos);
            serviceTimeByClass
                    .computeIfAbsent(attempt.serviceClass(), name -> new ServiceTimeEstimate())
                    .record(elapsedNanos, nowNanos);
        }
        removeIfIdle(attempt.customer(), customerQueue);
    }

    /**
     * Removes a queued attempt.
     *
     * @param attempt the attempt, not null
     * @return true if the attempt was queued and has been removed
     */
    public boolean remove(QueuedAttempt<T> attempt) {
        CustomerQueue<T> customerQueue = customerQueues.get(attempt.customer());
        if (customerQueue == null
                || !customerQueue.attempts.removeIf(o -> o.attempt.equals(attempt))) {
            return false;
        }
        queued--;
        queuedBytes -= attempt.bytes();
        removeIfIdle(attempt.customer(), customerQueue);
        return true;
    }

    /**
     * Removes the queued attempts that can no longer meet their deadlines.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the removed attempts, never null
     */
    public List<QueuedAttempt<T>> removeWithUnreachableDeadline(long nowNanos) {
        List<QueuedAttempt<T>> unreachable = new ArrayList<>();
        for (CustomerQueue<T> customerQueue : customerQueues.values()) {
            for (OrderedAttempt<T> ordered : customerQueue.attempts) {
                if (isDeadlineUnreachable(ordered.attempt, nowNanos)) {
                    unreachable.add(ordered.attempt);
                }
            }
        }
        unreachable.forEach(this::remove);
        return unreachable;
    }

    /**
     * Tests whether an attempt can no longer meet its deadline, even if it starts now.
     *
     * @param attempt the attempt, not null
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return true if the time left until the deadline is shorter than the expected service time
     */
    public boolean isDeadlineUnreachable(QueuedAttempt<T> attempt, long nowNanos) {
        return nowNanos + expectedServiceNanos(attempt, nowNanos) > attempt.deadlineNanos();
    }

    /**
     * Returns the number of queued attempts.
     *
     * @return the number, not negative
     */
    public int queued() {
        return queued;
    }

    /**
     * Returns the number of running attempts.
     *
     * @return the number, not negative
     */
    public int running() {
        return running;
    }

    /**
     * Returns the total size of the queued attempts.
     *
     * @return the size in bytes, not negative
     */
    public long queuedBytes() {
        return queuedBytes;
    }

    /**
     * Returns the recent mean service time.
     *
     * @return the time in microseconds, 0 before the first attempt has ended
     */
    public long serviceMicros() {
        return Math.round(overallServiceTime.meanNanos() / 1_000);
    }

    /**
     * Returns the expected time until all attempts that are queued or running now have ended.
     *
     * @return the time in milliseconds, at least 1
     */
    public long backlogMillis() {
        double rounds = (queued + running) / (double) Math.max(1, slots);
        return Math.max(1, (long) (rounds * meanServiceNanosOrInitial() / 1_000_000));
    }

    private FailureType refusal(
            CustomerQueue<T> customerQueue,
            OrderedAttempt<T> candidate,
            long waitNanos,
            long nowNanos) {
        long remainingNanos = candidate.attempt.deadlineNanos() - nowNanos;
        if (remainingNanos <= 0) {
            return FailureType.DEADLINE_PASSED;
        }
        if (customerQueue.attempts.size() >= limits.maxQueuedPerCustomer()) {
            return FailureType.CUSTOMER_QUEUE_FULL;
        }
        if (queued >= limits.maxQueued()
                || queuedBytes + candidate.attempt.bytes() > limits.maxBytes()) {
            return FailureType.UPSTREAM_FULL;
        }
        double neededNanos =
                WAIT_SAFETY_FACTOR * waitNanos + expectedServiceNanos(candidate.attempt, nowNanos);
        return neededNanos > remainingNanos ? FailureType.DEADLINE_UNREACHABLE : null;
    }

    private String refusalDetail(
            FailureType refusal,
            QueuedAttempt<T> attempt,
            CustomerQueue<T> customerQueue,
            long waitNanos,
            long nowNanos) {
        long remainingMillis = (attempt.deadlineNanos() - nowNanos) / 1_000_000;
        return switch (refusal) {
            case CUSTOMER_QUEUE_FULL ->
                    "customer "
                            + attempt.customer()
                            + " has "
                            + customerQueue.attempts.size()
                            + " queued attempts, the limit is "
                            + limits.maxQueuedPerCustomer();
            case UPSTREAM_FULL ->
                    queued
                            + " attempts with "
                            + queuedBytes
                            + " bytes are queued, the limits are "
                            + limits.maxQueued()
                            + " attempts and "
                            + limits.maxBytes()
                            + " bytes";
            case DEADLINE_PASSED -> "the deadline passed " + -remainingMillis + " ms ago";
            default ->
                    "the expected wait is "
                            + waitNanos / 1_000_000
                            + " ms, "
                            + remainingMillis
                            + " ms are left until the deadline";
        };
    }

    private long retryAfterMillis(
            FailureType refusal, OrderedAttempt<T> candidate, long waitNanos, long nowNanos) {
        long remainingNanos = Math.max(0, candidate.attempt.deadlineNanos() - nowNanos);
        long spareNanos =
                (long)
                        Math.max(
                                0,
                                remainingNanos - expectedServiceNanos(candidate.attempt, nowNanos));
        long excessNanos = Math.max(0, waitNanos - spareNanos);
        return refusal == FailureType.DEADLINE_UNREACHABLE
                ? Math.max(1, excessNanos / 1_000_000)
                : backlogMillis();
    }

    private long expectedWaitNanos(CustomerQueue<T> customerQueue, OrderedAttempt<T> candidate) {
        if (running < slots && queued == 0) {
            return 0;
        }
        int ahead = customerQueue.attempts.headSet(candidate).size();
        double busyShares = customerQueue.share();
        for (CustomerQueue<T> other : customerQueues.values()) {
            if (other != customerQueue && !other.isIdle()) {
                busyShares += other.share();
            }
        }
        double customerSlots = Math.max(1, slots) * customerQueue.share() / busyShares;
        // The running attempts of the customer beyond its part of the slots must end first.
        double excessRunning = Math.max(0, customerQueue.running - customerSlots);
        // Some slot becomes free after 1 / slots mean service times. After that, the customer
        // starts one attempt in every 1 / customerSlots mean service times.
        double waitInServiceTimes =
                (ahead + excessRunning) / customerSlots + 1.0 / Math.max(1, slots);
        // Without a measured service time the mean is 0, so no wait is expected.
        return (long) (waitInServiceTimes * overallServiceTime.meanNanos());
    }

    private double meanServiceNanosOrInitial() {
        return overallServiceTime.meanNanos() == 0
                ? INITIAL_SERVICE_NANOS
                : overallServiceTime.meanNanos();
    }

    private double expectedServiceNanos(QueuedAttempt<T> attempt, long nowNanos) {
        ServiceTimeEstimate time = serviceTimeByClass.get(attempt.serviceClass());
        return time == null ? 0 : time.expectedNanos(nowNanos);
    }

    private CustomerQueue<T> customerQueue(String customer) {
        return customerQueues.computeIfAbsent(customer, name -> new CustomerQueue<>(name, shares));
    }

    /**
     * Removes the queue of a customer that is idle. An idle customer whose virtual time is ahead of
     * the system virtual time stays, so that it does not gain by being idle.
     */
    private void removeIfIdle(String customer, CustomerQueue<T> customerQueue) {
        if (customerQueue.isIdle() && customerQueue.virtualTime <= systemVirtualTime) {
            customerQueues.remove(customer);
        }
    }

    /** A queued attempt with its place in the order of arrival. */
    private record OrderedAttempt<T>(QueuedAttempt<T> attempt, long arrival)
            implements Comparable<OrderedAttempt<T>> {
        @Override
        public int compareTo(OrderedAttempt<T> other) {
            int order = Integer.compare(other.attempt.priority(), attempt.priority());
            if (order == 0) {
                order = Long.compare(attempt.deadlineNanos(), other.attempt.deadlineNanos());
            }
            return order == 0 ? Long.compare(arrival, other.arrival) : order;
        }
    }

    private static final class CustomerQueue<T> {
        private final String customer;
        private final ToDoubleFunction<String> shares;
        private final TreeSet<OrderedAttempt<T>> attempts = new TreeSet<>();
        private int running;
        private double virtualTime;

        private CustomerQueue(String customer, ToDoubleFunction<String> shares) {
            this.customer = customer;
            this.shares = shares;
        }

        private double share() {
            return Math.max(UNGUARANTEED_SHARE, shares.applyAsDouble(customer));
        }

        private boolean isIdle() {
            return attempts.isEmpty() && running == 0;
        }
    }
}
