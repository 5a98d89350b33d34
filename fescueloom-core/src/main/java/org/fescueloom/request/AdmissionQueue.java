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
 * Queues the attempts for one set of slots and decides which waiting attempt gets the next free
 * slot.
 *
 * <p>Customers share the slots by start-time fair queueing: each started attempt advances the
 * virtual time of its customer by the service time divided by the guaranteed share, and the
 * customer with the lowest virtual time is served next. A customer that was idle resumes at the
 * virtual time of the busy customers. Its unused share is therefore lent to the other customers,
 * and it gets the next free slot when it has attempts again. Among the attempts of one customer,
 * the service class with the higher priority goes first, then the earlier deadline.
 *
 * <p>An attempt is refused on arrival if it cannot meet its deadline after the attempts that go
 * before it.
 *
 * <p>Not thread-safe.
 *
 * @param <T> the type of the work of an attempt
 */
public final class AdmissionQueue<T> {
    /** The share that is used for a customer without a guaranteed share. */
    public static final double UNGUARANTEED_SHARE = 0.01;

    /**
     * Factor on the expected wait in the admission check. Without this margin, half of the attempts
     * that are only just admitted would wait until their deadline is unreachable.
     */
    private static final double WAIT_SAFETY_FACTOR = 1.4;

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
    private double virtualTime;

    /**
     * Creates an empty queue without slots.
     *
     * @param limits the limits on the waiting attempts, not null
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
     *     time after which a retry may succeed
     */
    public void offer(QueuedAttempt<T> attempt, long nowNanos) {
        CustomerQueue<T> customerQueue = customerQueue(attempt.customer());
        WaitingAttempt<T> waiting = new WaitingAttempt<>(attempt, arrivals++);
        long waitNanos = expectedWaitNanos(customerQueue, waiting);
        FailureType refusal = refusal(customerQueue, waiting, waitNanos, nowNanos);
        if (refusal != null) {
            removeIfIdle(attempt.customer(), customerQueue);
            throw new SchedulerException(
                    refusal,
                    "queued " + queued + ", expected wait " + waitNanos / 1_000_000 + " ms",
                    retryAfterMillis(refusal, waiting, waitNanos, nowNanos));
        }
        if (customerQueue.isIdle()) {
            customerQueue.virtualTime = Math.max(customerQueue.virtualTime, virtualTime);
        }
        customerQueue.waiting.add(waiting);
        queued++;
        queuedBytes += attempt.bytes();
    }

    /**
     * Assigns a free slot to the next attempt.
     *
     * @return the attempt, which counts as running from now on, or empty if no slot is free or no
     *     attempt waits
     */
    public Optional<QueuedAttempt<T>> poll() {
        if (running >= slots || queued == 0) {
            return Optional.empty();
        }
        CustomerQueue<T> customerQueue =
                customerQueues.values().stream()
                        .filter(q -> !q.waiting.isEmpty())
                        .min(Comparator.comparingDouble(q -> q.virtualTime))
                        .orElseThrow();
        WaitingAttempt<T> next = customerQueue.waiting.pollFirst();
        queued--;
        queuedBytes -= next.attempt.bytes();
        running++;
        customerQueue.running++;
        virtualTime = Math.max(virtualTime, customerQueue.virtualTime);
        customerQueue.virtualTime += estimatedServiceNanos() / customerQueue.share();
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
        customerQueue.virtualTime +=
                (elapsedNanos - estimatedServiceNanos()) / customerQueue.share();
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
     * Removes a waiting attempt.
     *
     * @param attempt the attempt, not null
     * @return true if the attempt was waiting and has been removed
     */
    public boolean remove(QueuedAttempt<T> attempt) {
        CustomerQueue<T> customerQueue = customerQueues.get(attempt.customer());
        if (customerQueue == null
                || !customerQueue.waiting.removeIf(w -> w.attempt.equals(attempt))) {
            return false;
        }
        queued--;
        queuedBytes -= attempt.bytes();
        removeIfIdle(attempt.customer(), customerQueue);
        return true;
    }

    /**
     * Removes the waiting attempts that can no longer meet their deadlines.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the removed attempts, never null
     */
    public List<QueuedAttempt<T>> removeWithUnreachableDeadline(long nowNanos) {
        List<QueuedAttempt<T>> unreachable = new ArrayList<>();
        for (CustomerQueue<T> customerQueue : customerQueues.values()) {
            for (WaitingAttempt<T> waiting : customerQueue.waiting) {
                if (isDeadlineUnreachable(waiting.attempt, nowNanos)) {
                    unreachable.add(waiting.attempt);
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
        return nowNanos + serviceNanos(attempt, nowNanos) > attempt.deadlineNanos();
    }

    /**
     * Returns the number of waiting attempts.
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
     * Returns the total size of the waiting attempts.
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
     * Returns the expected time until all attempts that wait or run now have ended.
     *
     * @return the time in milliseconds, at least 1
     */
    public long backlogMillis() {
        double rounds = (queued + running) / (double) Math.max(1, slots);
        return Math.max(1, (long) (rounds * estimatedServiceNanos() / 1_000_000));
    }

    private FailureType refusal(
            CustomerQueue<T> customerQueue,
            WaitingAttempt<T> waiting,
            long waitNanos,
            long nowNanos) {
        long remainingNanos = waiting.attempt.deadlineNanos() - nowNanos;
        if (remainingNanos <= 0) {
            return FailureType.DEADLINE_PASSED;
        }
        if (customerQueue.waiting.size() >= limits.maxQueuedPerCustomer()) {
            return FailureType.CUSTOMER_QUEUE_FULL;
        }
        if (queued >= limits.maxQueued()
                || queuedBytes + waiting.attempt.bytes() > limits.maxBytes()) {
            return FailureType.UPSTREAM_FULL;
        }
        double neededNanos =
                WAIT_SAFETY_FACTOR * waitNanos + serviceNanos(waiting.attempt, nowNanos);
        return neededNanos > remainingNanos ? FailureType.DEADLINE_UNREACHABLE : null;
    }

    private long retryAfterMillis(
            FailureType refusal, WaitingAttempt<T> waiting, long waitNanos, long nowNanos) {
        long remainingNanos = Math.max(0, waiting.attempt.deadlineNanos() - nowNanos);
        long spareNanos =
                (long) Math.max(0, remainingNanos - serviceNanos(waiting.attempt, nowNanos));
        long excessNanos = Math.max(0, waitNanos - spareNanos);
        return refusal == FailureType.DEADLINE_UNREACHABLE
                ? Math.max(1, excessNanos / 1_000_000)
                : backlogMillis();
    }

    private long expectedWaitNanos(CustomerQueue<T> customerQueue, WaitingAttempt<T> waiting) {
        if (running < slots && queued == 0) {
            return 0;
        }
        int ahead = customerQueue.waiting.headSet(waiting).size();
        double busyShares = customerQueue.share();
        for (CustomerQueue<T> other : customerQueues.values()) {
            if (other != customerQueue && !other.isIdle()) {
                busyShares += other.share();
            }
        }
        double customerSlots = Math.max(1, slots) * customerQueue.share() / busyShares;
        double surplus = Math.max(0, customerQueue.running - customerSlots);
        double rounds = (ahead + surplus) / customerSlots + 1.0 / Math.max(1, slots);
        return (long) (rounds * overallServiceTime.meanNanos());
    }

    private double estimatedServiceNanos() {
        return overallServiceTime.meanNanos() == 0
                ? INITIAL_SERVICE_NANOS
                : overallServiceTime.meanNanos();
    }

    private double serviceNanos(QueuedAttempt<T> attempt, long nowNanos) {
        ServiceTimeEstimate time = serviceTimeByClass.get(attempt.serviceClass());
        return time == null ? 0 : time.expectedNanos(nowNanos);
    }

    private CustomerQueue<T> customerQueue(String customer) {
        return customerQueues.computeIfAbsent(customer, name -> new CustomerQueue<>(name, shares));
    }

    private void removeIfIdle(String customer, CustomerQueue<T> customerQueue) {
        if (customerQueue.isIdle() && customerQueue.virtualTime <= virtualTime) {
            customerQueues.remove(customer);
        }
    }

    private record WaitingAttempt<T>(QueuedAttempt<T> attempt, long arrival)
            implements Comparable<WaitingAttempt<T>> {
        @Override
        public int compareTo(WaitingAttempt<T> other) {
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
        private final TreeSet<WaitingAttempt<T>> waiting = new TreeSet<>();
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
            return waiting.isEmpty() && running == 0;
        }
    }
}
