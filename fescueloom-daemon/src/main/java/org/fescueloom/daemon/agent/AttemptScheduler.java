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
 * Keeps the attempts of one agent from their arrival to their end, and tells which one starts next.
 *
 * <p>Can be used by many threads; futures are never completed while the lock is held.
 */
final class AttemptScheduler {
    private static final AdmissionLimits QUEUE_LIMITS = new AdmissionLimits(512, 256, 16L << 20);
    private static final long FINISHED_RETENTION_NANOS = 60_000_000_000L;
    private static final long MAX_STORED_RESPONSE_BYTES = 12L << 20;
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
    private final Map<AttemptId, QueuedAttempt<PendingAttempt>> unfinishedAttempts =
            new HashMap<>();
    private boolean draining;

    /**
     * Creates a scheduler without an upstream.
     *
     * @param nanoTime the monotonic clock, not null
     * @param gate decides whether work may start, not null
     * @param config the configuration in force, not null
     */
    AttemptScheduler(
            LongSupplier nanoTime, StartGate gate, Supplier<ConfigurationDocument> config) {
        this.nanoTime = Objects.requireNonNull(nanoTime, "nanoTime");
        this.gate = Objects.requireNonNull(gate, "gate");
        this.config = Objects.requireNonNull(config, "config");
    }

    /** Is an attempt that has a slot and must be sent to the upstream now. */
    record AttemptStart(PendingAttempt attempt, UpstreamRegistration upstream) {}

    /** Is an attempt that was given up without having started. */
    record AttemptRefusal(PendingAttempt attempt, SchedulerException failure) {}

    /** Holds what is to be done once the lock is free. */
    record DeferredActions(List<AttemptStart> starts, List<AttemptRefusal> refusals) {
        static DeferredActions empty() {
            return new DeferredActions(new ArrayList<>(), new ArrayList<>());
        }
    }

    /**
     * Takes a registration of the upstream.
     *
     * @param registration the registration, not null
     * @return true if it differs from the last one
     */
    synchronized boolean register(UpstreamRegistration registration) {
        queue.setSlots(registration.slots());
        return registeredUpstream.register(registration, nanoTime.getAsLong());
    }

    /** Counts the upstream as absent until it registers again. */
    synchronized void clearUpstream() {
        registeredUpstream.clear();
    }

    /**
     * Takes in an attempt.
     *
     * @param attempt the attempt, not null
     * @throws SchedulerException if it is refused; then it did not run and never will
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
            registry.cancel(attempt.id, AttemptEvent.SHUTDOWN, nowNanos);
            throw e;
        }
        unfinishedAttempts.put(attempt.id, queued);
    }

    /**
     * Gives free slots to waiting attempts and gives up those that are too late.
     *
     * @return what is to be done, never null
     */
    synchronized DeferredActions startQueued() {
        long nowNanos = nanoTime.getAsLong();
        DeferredActions deferred = DeferredActions.empty();
        for (QueuedAttempt<PendingAttempt> late : queue.removeWithUnreachableDeadline(nowNanos)) {
            refuse(late, AttemptEvent.DEADLINE_PASSED, deadlineUnreachable(), deferred, nowNanos);
        }
        for (var next = queue.poll(); next.isPresent(); next = queue.poll()) {
            startOrRefuse(next.get(), deferred, nowNanos);
        }
        registry.expire(nowNanos);
        return deferred;
    }

    /**
     * Records how an attempt ended.
     *
     * @param attempt the attempt, not null
     * @param answer the whole answer; null if there is none
     * @param failure the failure; null if there is an answer
     * @param elapsedNanos how long it ran, in nanoseconds
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
     * Makes the fate of an attempt definite; one that has not started is cancelled.
     *
     * @param id the attempt, not null
     * @param keepQueued whether an attempt that waits is left waiting and reported as running
     * @param work takes the refusal of an attempt that waited, not null
     * @return what is known, never null
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
     * Finds an attempt that has not ended.
     *
     * @param id the attempt, not null
     * @return the attempt; null if there is none
     */
    synchronized PendingAttempt find(AttemptId id) {
        QueuedAttempt<PendingAttempt> queued = unfinishedAttempts.get(id);
        return queued == null ? null : queued.work();
    }

    /** Refuses new attempts from now on. */
    synchronized void drain() {
        draining = true;
    }

    /**
     * Tells whether the agent takes no new attempts.
     *
     * @return true while it shuts down or its upstream is leaving
     */
    synchronized boolean isLeaving() {
        return draining
                || registeredUpstream
                        .current(nanoTime.getAsLong())
                        .map(UpstreamRegistration::leaving)
                        .orElse(false);
    }

    /**
     * Returns what the upstream can take.
     *
     * @return the status; null without an upstream
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
     * Returns how many attempts have not ended.
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
                                                    "the upstream fell silent",
                                                    queue.backlogMillis()));
            gate.check();
            if (!registry.start(attempt.id, nowNanos)) {
                throw attemptCancelled(attempt.id);
            }
            deferred.starts().add(new AttemptStart(attempt, upstream));
        } catch (SchedulerException e) {
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
                "waited until the deadline could not be met",
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
