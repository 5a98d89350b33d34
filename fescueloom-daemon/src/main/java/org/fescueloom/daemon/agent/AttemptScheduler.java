package org.fescueloom.daemon.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.CustomerPolicy;
import org.fescueloom.config.ServiceClass;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.request.AdmissionLimits;
import org.fescueloom.request.AdmissionQueue;
import org.fescueloom.request.AttemptAnswer;
import org.fescueloom.request.AttemptEvent;
import org.fescueloom.request.AttemptId;
import org.fescueloom.request.AttemptRegistry;
import org.fescueloom.request.AttemptResolution;
import org.fescueloom.request.QueuedAttempt;
import org.fescueloom.wire.AgentStatus;
import org.fescueloom.wire.AttemptState;
import org.fescueloom.wire.UpstreamRegistration;

/**
 * Tracks the attempts of one agent from their arrival to their end, and assigns the slots of the
 * upstream to queued attempts.
 *
 * <p>Thread-safe. The methods do not complete futures, because they hold the lock: the caller
 * performs the returned {@link DeferredActions} after the call.
 */
final class AttemptScheduler {
    /** The limits on queued attempts: in all, per customer, and of the bodies in bytes. */
    private static final AdmissionLimits QUEUE_LIMITS = new AdmissionLimits(512, 256, 16L << 20);

    /** The time for which the state of a finished attempt is stored. */
    private static final long FINISHED_RETENTION_NANOS = 60_000_000_000L;

    /** The maximum total size of the stored response bodies. */
    private static final long MAX_STORED_RESPONSE_BYTES = 12L << 20;

    /** The maximum number of finished attempts whose states are stored. */
    private static final int MAX_FINISHED_ATTEMPTS = 20_000;

    private final LongSupplier nanoTime;
    private final StartGate gate;
    private final Supplier<ConfigurationDocument> config;
    private final RegisteredUpstream registeredUpstream = new RegisteredUpstream();
    private final AttemptRegistry registry =
            new AttemptRegistry(
                    FINISHED_RETENTION_NANOS, MAX_STORED_RESPONSE_BYTES, MAX_FINISHED_ATTEMPTS);
    private final AdmissionQueue<PendingAttempt> queue =
            new AdmissionQueue<>(QUEUE_LIMITS, this::guaranteedShare);

    /** The queued and running attempts. */
    private final Map<AttemptId, QueuedAttempt<PendingAttempt>> unfinishedAttempts =
            new HashMap<>();

    private boolean draining;

    /**
     * Creates a scheduler without a registered upstream.
     *
     * @param nanoTime the monotonic clock, not null
     * @param gate decides whether work may start, not null
     * @param config supplies the configuration in force, not null
     */
    AttemptScheduler(
            LongSupplier nanoTime, StartGate gate, Supplier<ConfigurationDocument> config) {
        this.nanoTime = Objects.requireNonNull(nanoTime, "nanoTime");
        this.gate = Objects.requireNonNull(gate, "gate");
        this.config = Objects.requireNonNull(config, "config");
    }

    /** Holds an attempt that has been given a slot and must now be sent to the upstream. */
    record AttemptStart(PendingAttempt attempt, UpstreamRegistration upstream) {}

    /** Holds an attempt that was refused before it started. */
    record AttemptRefusal(PendingAttempt attempt, SchedulerException failure) {}

    /** Holds the actions that the caller must perform without the lock. */
    record DeferredActions(List<AttemptStart> starts, List<AttemptRefusal> refusals) {
        static DeferredActions empty() {
            return new DeferredActions(new ArrayList<>(), new ArrayList<>());
        }
    }

    /**
     * Stores a new registration of the upstream.
     *
     * @param registration the registration, not null
     * @return true if the registration differs from the last one
     */
    synchronized boolean register(UpstreamRegistration registration) {
        queue.setSlots(registration.slots());
        return registeredUpstream.register(registration, nanoTime.getAsLong());
    }

    /** Removes the registration of the upstream until the upstream registers again. */
    synchronized void clearUpstream() {
        registeredUpstream.clear();
    }

    /**
     * Adds an attempt to the queue.
     *
     * @param attempt the attempt, not null
     * @throws SchedulerException if the attempt is refused; except with type {@code
     *     OUTCOME_UNKNOWN}, the attempt did not run and will never run
     */
    synchronized void accept(PendingAttempt attempt) {
        long nowNanos = nanoTime.getAsLong();
        if (draining) {
            throw new SchedulerException(
                    FailureType.SHUTTING_DOWN, "the agent is shutting down", queue.backlogMillis());
        }
        registeredUpstream.requireReady(nowNanos);
        gate.check();
        registry.accept(attempt.id);
        QueuedAttempt<PendingAttempt> queued =
                new QueuedAttempt<>(
                        attempt,
                        attempt.customer,
                        attempt.serviceClass,
                        priority(attempt.serviceClass),
                        attempt.deadlineNanos,
                        attempt.body().length);
        try {
            queue.offer(queued, nowNanos);
        } catch (SchedulerException e) {
            // The refused attempt must not stay registered as waiting.
            registry.cancel(attempt.id, AttemptEvent.SHUTDOWN, nowNanos);
            throw e;
        }
        unfinishedAttempts.put(attempt.id, queued);
    }

    /**
     * Assigns free slots to queued attempts, and refuses queued attempts that can no longer meet
     * their deadlines.
     *
     * @return the attempts to start and to refuse, never null
     */
    synchronized DeferredActions startQueued() {
        long nowNanos = nanoTime.getAsLong();
        DeferredActions deferred = DeferredActions.empty();
        for (QueuedAttempt<PendingAttempt> queued : queue.removeWithUnreachableDeadline(nowNanos)) {
            refuse(queued, AttemptEvent.DEADLINE_PASSED, deadlineUnreachable(), deferred, nowNanos);
        }
        for (var next = queue.poll(); next.isPresent(); next = queue.poll()) {
            startOrRefuse(next.get(), deferred, nowNanos);
        }
        registry.expire(nowNanos);
        return deferred;
    }

    /**
     * Records the end of an attempt that was sent to the upstream.
     *
     * @param attempt the attempt, not null
     * @param response the complete response; null if the attempt failed
     * @param failure the failure; null if there is a response
     * @param elapsedNanos the run time of the attempt, in nanoseconds
     */
    synchronized void finish(
            PendingAttempt attempt,
            AttemptAnswer response,
            SchedulerException failure,
            long elapsedNanos) {
        long nowNanos = nanoTime.getAsLong();
        QueuedAttempt<PendingAttempt> queued = unfinishedAttempts.remove(attempt.id);
        if (response == null) {
            registry.fail(attempt.id, failure.type(), nowNanos);
        } else {
            registry.answer(attempt.id, response, nowNanos);
        }
        queue.finish(queued, elapsedNanos, response != null && response.isSuccess(), nowNanos);
    }

    /**
     * Returns the outcome of an attempt, and cancels the attempt if it has not started.
     *
     * @param id the attempt, not null
     * @param keepQueued whether a queued attempt stays queued and is reported as running
     * @param deferred receives the refusal of a queued attempt that is cancelled, not null
     * @return the state of the attempt with its response or failure, never null
     */
    synchronized AttemptResolution resolve(
            AttemptId id, boolean keepQueued, DeferredActions deferred) {
        QueuedAttempt<PendingAttempt> queued = unfinishedAttempts.get(id);
        if (queued != null && keepQueued) {
            return new AttemptResolution(AttemptState.RUNNING, null, null);
        }
        long nowNanos = nanoTime.getAsLong();
        if (queued != null && queue.remove(queued)) {
            refuse(
                    queued,
                    AttemptEvent.RESOLVE_REQUESTED,
                    attemptCancelled(id),
                    deferred,
                    nowNanos);
        }
        return registry.resolve(id, nowNanos);
    }

    /**
     * Returns an attempt that has not ended.
     *
     * @param id the attempt, not null
     * @return the attempt; null if it has ended or has not arrived
     */
    synchronized PendingAttempt find(AttemptId id) {
        QueuedAttempt<PendingAttempt> queued = unfinishedAttempts.get(id);
        return queued == null ? null : queued.work();
    }

    /** Starts to refuse all new attempts. */
    synchronized void drain() {
        draining = true;
    }

    /**
     * Tests whether the agent is leaving, that is, refuses all new attempts.
     *
     * @return true if the agent is shutting down or its upstream is leaving
     */
    synchronized boolean isLeaving() {
        return draining
                || registeredUpstream
                        .current(nanoTime.getAsLong())
                        .map(UpstreamRegistration::leaving)
                        .orElse(false);
    }

    /**
     * Returns the current occupancy of the upstream.
     *
     * @return the status; null if no upstream is registered
     */
    synchronized AgentStatus status() {
        return registeredUpstream
                .current(nanoTime.getAsLong())
                .map(
                        upstream ->
                                new AgentStatus(
                                        upstream.upstream(),
                                        upstream.slots(),
                                        queue.running(),
                                        queue.queued(),
                                        queue.serviceMicros()))
                .orElse(null);
    }

    /**
     * Returns the number of queued and running attempts.
     *
     * @return the number, not negative
     */
    synchronized int unfinishedCount() {
        return unfinishedAttempts.size();
    }

    private void startOrRefuse(
            QueuedAttempt<PendingAttempt> queued, DeferredActions deferred, long nowNanos) {
        PendingAttempt attempt = queued.work();
        try {
            UpstreamRegistration upstream =
                    registeredUpstream
                            .current(nowNanos)
                            .orElseThrow(
                                    () ->
                                            new SchedulerException(
                                                    FailureType.NO_UPSTREAM,
                                                    "the upstream is no longer registered with the"
                                                            + " agent",
                                                    queue.backlogMillis()));
            gate.check();
            if (!registry.start(attempt.id, nowNanos)) {
                throw attemptCancelled(attempt.id);
            }
            deferred.starts().add(new AttemptStart(attempt, upstream));
        } catch (SchedulerException e) {
            // Releases the slot that the queue has assigned to the attempt.
            queue.finish(queued, 0, false, nowNanos);
            refuse(queued, AttemptEvent.SHUTDOWN, e, deferred, nowNanos);
        }
    }

    private void refuse(
            QueuedAttempt<PendingAttempt> queued,
            AttemptEvent reason,
            SchedulerException failure,
            DeferredActions deferred,
            long nowNanos) {
        unfinishedAttempts.remove(queued.work().id);
        registry.cancel(queued.work().id, reason, nowNanos);
        deferred.refusals().add(new AttemptRefusal(queued.work(), failure));
    }

    private SchedulerException deadlineUnreachable() {
        return new SchedulerException(
                FailureType.DEADLINE_UNREACHABLE,
                "the attempt was queued at the agent until its deadline was unreachable",
                queue.backlogMillis());
    }

    private static SchedulerException attemptCancelled(AttemptId id) {
        return new SchedulerException(
                FailureType.ATTEMPT_CANCELLED, "attempt " + id + " was cancelled");
    }

    private double guaranteedShare(String customer) {
        return config.get().customer(customer).map(CustomerPolicy::guaranteedShare).orElse(0.0);
    }

    private int priority(String serviceClass) {
        return config.get().serviceClass(serviceClass).map(ServiceClass::priority).orElse(0);
    }
}
