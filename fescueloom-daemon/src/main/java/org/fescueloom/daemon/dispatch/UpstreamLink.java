package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.Failures;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;

/**
 * Polls the upstream of an agent, sends it orders and renews the lease of its runs. Confined to the
 * event loop of the agent.
 */
final class UpstreamLink {
    /** How long a poll waits for a run to end. */
    private static final Duration POLL_WAIT = Duration.ofMillis(1_000);

    /** The pause after a failed poll. */
    private static final long POLL_RETRY_MILLIS = 250;

    /** The pause after a failed poll of an upstream that is said to have left. */
    private static final long DEPARTURE_POLL_RETRY_MILLIS = 50;

    /**
     * The pause after a poll that listed ends. The upstream responds at once while it has ends that
     * are not acknowledged.
     */
    private static final long UNACKNOWLEDGED_ENDS_PAUSE_MILLIS = 100;

    private final UpstreamControl upstream;
    private final ScheduledExecutorService loop;
    private final LongSupplier clock;
    private final Metrics metrics;
    private final Runnable onChange;
    private final UpstreamTracker tracker = new UpstreamTracker();
    private final UpstreamLease lease = new UpstreamLease();
    private final RunOrders runOrders;

    /** The boot IDs of the candidates whose poll is in progress. */
    private final Set<String> polledCandidates = new HashSet<>();

    private final ListedRuns listedRuns = new ListedRuns();
    private long acknowledgedEndNumber;
    private long epoch;
    private long pollCount;

    /** Grows whenever the present incarnation changes; answers to earlier calls are obsolete. */
    private long incarnationCount;

    private final AnswerDoubt doubt = new AnswerDoubt();
    private boolean polledSinceBoot;
    private boolean polling;
    private boolean immediatePollPending;
    private boolean candidateRetryScheduled;
    private boolean silent;
    private boolean closed;

    /**
     * Creates a link that polls nothing before the first epoch.
     *
     * @param clock a monotonic clock, in milliseconds
     * @param onChange called when the dispatcher should hear of a change
     */
    UpstreamLink(
            UpstreamControl upstream,
            ScheduledExecutorService loop,
            LongSupplier clock,
            Metrics metrics,
            Runnable onChange) {
        this.upstream = upstream;
        this.loop = loop;
        this.clock = clock;
        this.metrics = metrics;
        this.onChange = onChange;
        runOrders = new RunOrders(this, upstream, loop, metrics);
    }

    /** Stops polling. The runs on the upstream continue until their lease expires. */
    void close() {
        closed = true;
    }

    /** Returns the last report of the upstream that answered last; null if none has answered. */
    UpstreamNotice notice() {
        return tracker.notice();
    }

    /** Returns the report to the dispatcher. */
    AgentReport report(String agent, String process, long sequence, long nowMillis) {
        return new AgentReport(
                agent,
                process,
                sequence,
                epoch,
                tracker.notice(),
                polledSinceBoot,
                lease.clockAgeMillis(nowMillis),
                listedRuns.running(),
                listedRuns.ended(),
                listedRuns.allEndsListed(),
                runOrders.barredRuns());
    }

    /**
     * Returns the time on the upstream's clock, which is not ahead of that clock; 0 if unknown.
     * Then no response renews a lease.
     */
    long upstreamClockMillis(long nowMillis) {
        return polledSinceBoot ? lease.clockMillis(nowMillis) : 0;
    }

    /** Returns the epoch of the last orders. */
    long epoch() {
        return epoch;
    }

    /** Returns a number that grows whenever the present incarnation changes or ends. */
    long incarnationCount() {
        return incarnationCount;
    }

    /** Tests whether the last poll listed a run as running or ended. */
    boolean lists(String task, int run) {
        return listedRuns.contain(task, run);
    }

    /** Returns the runs that the last poll listed as running or ended, as "TASK#RUN". */
    Set<String> listedRunIds() {
        return listedRuns.runIds();
    }

    /** Returns the number of the last poll that was sent. */
    long pollCount() {
        return pollCount;
    }

    /** Informs the dispatcher of a change. */
    void reportChange() {
        onChange.run();
    }

    /** Handles a status report. */
    void onReport(UpstreamNotice report) {
        switch (tracker.onReport(report, clock.getAsLong())) {
            case IGNORED -> metrics.count("agent.reports-ignored");
            case UNCHANGED -> {}
            case STATE_CHANGED -> {
                UpstreamEvents.changed(tracker.notice(), presentBoot());
                onChange.run();
                pollContinuously();
            }
            default -> {
                UpstreamEvents.candidateReported(report, presentBoot());
                doubt.raise();
                pollNow();
                pollCandidates();
            }
        }
    }

    /** Handles a deregistration; the start time is 0 if the deregistration does not name it. */
    void onDeregistration(String instance, long bornMillis) {
        UpstreamTracker.DeregistrationEffect effect =
                tracker.onDeregistration(instance, bornMillis, clock.getAsLong());
        UpstreamEvents.deregistered(
                instance,
                bornMillis,
                presentBoot(),
                effect,
                pollAgeMillis(),
                listedRuns.running().size());
        if (effect == UpstreamTracker.DeregistrationEffect.PRESENT_LEAVES) {
            onChange.run();
            pollNow();
        }
    }

    /** Returns the time since the last answer of the present incarnation; -1 if there is none. */
    private long pollAgeMillis() {
        return polledSinceBoot ? lease.clockAgeMillis(clock.getAsLong()) : -1;
    }

    private String presentBoot() {
        return tracker.notice() == null ? "" : tracker.notice().boot();
    }

    /**
     * Applies the orders in a response to a report.
     *
     * @param reported the notice in the report; null if it had none
     * @param upstreamClockAtSend the time on the upstream's clock when the report was sent; 0 if
     *     unknown
     */
    void applyOrders(AgentOrders orders, UpstreamNotice reported, long upstreamClockAtSend) {
        boolean newEpoch = orders.epoch() > epoch;
        epoch = orders.epoch();
        if (newEpoch) {
            tracker.onNewEpoch();
            runOrders.removeWaitingStarts();
            pollCandidates();
        }
        // The report and the orders must concern the present incarnation of the upstream.
        String boot = presentBoot();
        boolean sameBoot =
                tracker.hasPresent()
                        && reported != null
                        && reported.boot().equals(boot)
                        && orders.boot().equals(boot);
        if (newEpoch || !polledSinceBoot) {
            pollContinuously();
        }
        if (!sameBoot) {
            return;
        }
        acknowledgedEndNumber = Math.max(acknowledgedEndNumber, orders.acknowledged());
        if (!listedRuns.allEndsListed() && listedAcknowledgedEndNumber() > 0) {
            // The next page of ends is listed once this one is acknowledged.
            pollNow();
        }
        if (orders.leaseMillis() > 0 && upstreamClockAtSend > 0) {
            lease.extend(upstreamClockAtSend + orders.leaseMillis());
        }
        runOrders.removeUnorderedRuns(orders);
        if (polledSinceBoot && lease.mustBeSent(clock.getAsLong())) {
            pollOnce(Duration.ZERO, () -> {}, () -> {});
        }
        orders.stops().forEach(runOrders::stopRun);
        if (tracker.notice().state() == UpstreamState.READY
                && lease.untilMillis() > 0
                && !doubt.open()) {
            orders.starts().forEach(order -> runOrders.startRun(order, lease.untilMillis()));
        }
    }

    /** Returns the fencing token for orders to the present incarnation of the upstream. */
    long token() {
        return FencingToken.of(epoch, tracker.tokenStartMillis());
    }

    /** Tests whether a boot ID is that of the present incarnation of the upstream. */
    boolean isPresent(String boot) {
        return tracker.hasPresent() && boot.equals(tracker.notice().boot());
    }

    /** Adds a started run to the runs unless a run of its task is listed. */
    void addRunning(StartOrder order) {
        listedRuns.addStarted(order, pollCount);
    }

    /**
     * Polls the upstream repeatedly. Does nothing if polling is already in progress, if the link is
     * closed, if no upstream has answered or the last one has ended, or if no dispatcher has
     * responded yet (epoch 0).
     */
    private void pollContinuously() {
        if (closed || polling || !tracker.hasPresent() || epoch == 0) {
            return;
        }
        polling = true;
        // A doubt is settled at once, since it holds back starts and the lease.
        boolean waits = listedRuns.ended().isEmpty() && polledSinceBoot && !doubt.open();
        Duration wait = waits ? POLL_WAIT : Duration.ZERO;
        pollOnce(
                wait,
                () -> {
                    polling = false;
                    long pause =
                            listedRuns.ended().isEmpty() ? 1 : UNACKNOWLEDGED_ENDS_PAUSE_MILLIS;
                    loop.schedule(this::pollContinuously, pause, TimeUnit.MILLISECONDS);
                },
                () -> {
                    polling = false;
                    loop.schedule(this::pollContinuously, POLL_RETRY_MILLIS, TimeUnit.MILLISECONDS);
                    if (tracker.saidToHaveLeft(clock.getAsLong())) {
                        pollNow();
                    }
                });
    }

    /** Polls the present incarnation without delay, because something was said about it. */
    private void pollNow() {
        if (closed || immediatePollPending || !tracker.hasPresent() || epoch == 0) {
            return;
        }
        immediatePollPending = true;
        pollOnce(
                Duration.ZERO,
                () -> immediatePollPending = false,
                () -> {
                    immediatePollPending = false;
                    if (tracker.saidToHaveLeft(clock.getAsLong())) {
                        loop.schedule(
                                this::pollNow, DEPARTURE_POLL_RETRY_MILLIS, TimeUnit.MILLISECONDS);
                    }
                });
    }

    /** Runs one of the callbacks, unless the present incarnation has changed since the call. */
    void pollOnce(Duration wait, Runnable onSuccess, Runnable onFailure) {
        long countAtCall = incarnationCount;
        long poll = ++pollCount;
        long doubtAtCall = doubt.number();
        upstream.poll(
                        tracker.notice().instance(),
                        FencingToken.of(epoch, tracker.pollTokenStartMillis()),
                        doubt.open() ? 0 : listedAcknowledgedEndNumber(),
                        doubt.open() ? 0 : lease.send(),
                        wait)
                .whenCompleteAsync(
                        (snapshot, error) -> {
                            if (closed || countAtCall != incarnationCount) {
                                return;
                            }
                            if (error == null) {
                                doubt.settle(doubtAtCall);
                                applyAnswer(snapshot, poll);
                            } else {
                                applyFailure(Failures.causeOf(error));
                            }
                            if (countAtCall == incarnationCount) {
                                (error == null ? onSuccess : onFailure).run();
                            }
                        },
                        loop);
    }

    private long listedAcknowledgedEndNumber() {
        return listedRuns.listedEndNumber(acknowledgedEndNumber);
    }

    private void applyAnswer(UpstreamSnapshot snapshot, long poll) {
        String bootBefore = presentBoot();
        if (tracker.onAnswer(snapshot.bornMillis())) {
            if (silent) {
                silent = false;
                UpstreamEvents.answers(bootBefore);
            }
            applySnapshot(snapshot, poll);
        } else {
            // Calls that were meant for the incarnation before are refused once this one was polled
            // with its own token.
            onIncarnationChanged(bootBefore);
            onChange.run();
            pollContinuously();
        }
    }

    private void applyFailure(Throwable error) {
        doubt.raise();
        metrics.count("agent.looks-failed");
        if (!silent) {
            silent = true;
            UpstreamEvents.silent(presentBoot(), error);
        }
        if (error instanceof BootMismatchException) {
            tracker.onOtherUpstream();
            onUpstreamEnded("other-upstream");
        } else if (error instanceof UpstreamRefusedException) {
            if (tracker.onConnectionRefused(clock.getAsLong())) {
                onUpstreamEnded("connection-refused");
            }
        } else if (error instanceof TokenRefusedException) {
            tracker.raiseToken();
        }
    }

    private void onUpstreamEnded(String evidence) {
        UpstreamEvents.departed(
                presentBoot(), evidence, pollAgeMillis(), listedRuns.running().size());
        incarnationCount++;
        polling = false;
        immediatePollPending = false;
        runOrders.reset();
        onChange.run();
        pollCandidates();
    }

    /** Polls the candidates, and repeats that while there is no present incarnation. */
    private void pollCandidates() {
        if (closed || epoch == 0) {
            return;
        }
        List<UpstreamNotice> candidates = tracker.candidatesToPoll(clock.getAsLong());
        candidates.forEach(this::pollCandidate);
        if (!tracker.hasPresent() && !candidates.isEmpty() && !candidateRetryScheduled) {
            candidateRetryScheduled = true;
            loop.schedule(
                    () -> {
                        candidateRetryScheduled = false;
                        if (!tracker.hasPresent()) {
                            pollCandidates();
                        }
                    },
                    POLL_RETRY_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void pollCandidate(UpstreamNotice candidate) {
        if (polledCandidates.size() >= UpstreamTracker.MAX_CANDIDATES
                || !polledCandidates.add(candidate.boot())) {
            return;
        }
        long countAtCall = incarnationCount;
        long token = FencingToken.of(epoch, tracker.tokenStartMillis(candidate));
        upstream.poll(candidate.instance(), token, 0, 0, Duration.ZERO)
                .whenCompleteAsync(
                        (snapshot, error) -> {
                            polledCandidates.remove(candidate.boot());
                            if (closed || countAtCall != incarnationCount) {
                                return;
                            }
                            if (error == null) {
                                applyCandidateAnswer(candidate, snapshot);
                            } else {
                                applyCandidateFailure(candidate, Failures.causeOf(error));
                            }
                        },
                        loop);
    }

    private void applyCandidateAnswer(UpstreamNotice candidate, UpstreamSnapshot snapshot) {
        String bootBefore = presentBoot();
        boolean answeredItself = tracker.onCandidateAnswer(candidate, snapshot.bornMillis());
        onIncarnationChanged(bootBefore);
        if (answeredItself) {
            applySnapshot(snapshot, pollCount);
        } else {
            onChange.run();
        }
        pollContinuously();
    }

    private void applyCandidateFailure(UpstreamNotice candidate, Throwable error) {
        metrics.count("agent.looks-failed");
        if (error instanceof TokenRefusedException) {
            tracker.raiseToken();
        } else if (error instanceof BootMismatchException && tracker.hasPresent()) {
            tracker.dropCandidate(candidate.boot());
            metrics.count("agent.candidates-refuted");
            UpstreamEvents.candidateRefuted(candidate.boot(), presentBoot());
        }
    }

    private void onIncarnationChanged(String bootBefore) {
        listedRuns.clear();
        doubt.clear();
        runOrders.reset();
        acknowledgedEndNumber = 0;
        lease.reset();
        polledSinceBoot = false;
        polling = false;
        immediatePollPending = false;
        silent = false;
        incarnationCount++;
        UpstreamEvents.changed(tracker.notice(), bootBefore);
    }

    private void applySnapshot(UpstreamSnapshot snapshot, long poll) {
        boolean firstSnapshot = !polledSinceBoot;
        polledSinceBoot = true;
        lease.readClock(snapshot.clockMillis(), clock.getAsLong());
        boolean changed = listedRuns.replace(snapshot, poll);
        runOrders.onSnapshot(poll, listedRuns.allEndsListed());
        if (firstSnapshot || changed) {
            onChange.run();
        }
    }
}
