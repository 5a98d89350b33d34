package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fescueloom.daemon.cluster.Clocks;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpClientResponse;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;

/**
 * Runs an agent, which executes the orders of the dispatcher on one upstream. No other process
 * calls the upstream.
 *
 * <p>Reports the runs of the upstream, executes the orders in the responses, and renews the lease
 * of the runs for no longer than the dispatcher has granted. The agent has no durable state: after
 * a restart it reads the runs from the upstream and receives the orders again from the dispatcher.
 */
public final class AgentRunner {
    /**
     * The dispatcher waits for up to a second before it responds to a report; a slow response takes
     * a few hundred ms more.
     */
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(2_000);

    /** The maximum time to wait for an entry that is asked for the address of the dispatcher. */
    private static final Duration SEARCH_TIMEOUT = Duration.ofMillis(700);

    /** How long a poll waits for a run to end. */
    private static final Duration POLL_WAIT = Duration.ofMillis(1_000);

    /** The pause before the next entry is asked for the address of the dispatcher. */
    private static final long SEARCH_RETRY_MILLIS = 150;

    /** The pause after a failed poll. */
    private static final long POLL_RETRY_MILLIS = 250;

    /**
     * The pause after a poll that listed ends. The upstream responds at once while it has ends that
     * are not acknowledged.
     */
    private static final long UNACKNOWLEDGED_ENDS_PAUSE_MILLIS = 100;

    /** The maximum number of reports without a response. */
    private static final int MAX_PENDING_REPORTS = 3;

    /** The maximum number of concurrent calls to entries. */
    private static final int MAX_CALLS = 16;

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final String name;
    private final String processId = UUID.randomUUID().toString();
    private final UpstreamControl upstream;
    private final ScheduledExecutorService loop;
    private final Metrics metrics;
    private final HttpClient http = new HttpClient(MAX_CALLS, CONNECT_TIMEOUT);
    private final Set<String> entryAddresses = new LinkedHashSet<>();
    private final Map<String, StopOrder> barredRuns = new HashMap<>();
    private final Set<String> pendingOrders = new HashSet<>();
    private UpstreamNotice notice;
    private String dispatcherAddress = "";
    private long epoch;
    private long sequence;
    private int pendingReports;
    private boolean searching;
    private int nextEntryIndex;
    private long acknowledgedEndNumber;

    private final UpstreamLease lease = new UpstreamLease();
    private boolean polledSinceBoot;
    private boolean polling;
    private long bootCount;
    private List<RunStatus> running = List.of();
    private List<EndedRun> ended = List.of();
    private volatile boolean closed;

    /**
     * Creates an agent that is not started.
     *
     * @param name the unique name of the agent, not null
     * @param seeds the addresses of entries to try first, not null
     * @param upstream sends orders to the upstream, not null
     * @param loop the event loop of the agent, not null
     * @param metrics counts orders and failed polls, not null
     */
    public AgentRunner(
            String name,
            List<String> seeds,
            UpstreamControl upstream,
            ScheduledExecutorService loop,
            Metrics metrics) {
        this.name = name;
        this.upstream = upstream;
        this.loop = loop;
        this.metrics = metrics;
        addEntryAddresses(seeds);
    }

    /** Starts to search for the dispatcher. */
    public void start() {
        loop.execute(this::findDispatcher);
    }

    /**
     * Adds addresses at which entries may be reached; counts and skips invalid ones.
     *
     * @param seeds the addresses, not null
     */
    public void addSeedAddresses(List<String> seeds) {
        loop.execute(() -> addEntryAddresses(seeds));
    }

    /** Closes the agent. The runs on the upstream continue until their lease expires. */
    public void close() {
        closed = true;
        http.close();
    }

    /**
     * Handles a notice in which the upstream describes itself.
     *
     * @param newNotice the notice, not null; ignored unless it is newer than the last one
     */
    public void onNotice(UpstreamNotice newNotice) {
        loop.execute(() -> applyNotice(newNotice));
    }

    /**
     * Handles the deregistration of an incarnation of an upstream; ignored unless it is the present
     * one.
     *
     * @param instance the identifier of the upstream, not null
     * @param bornMillis when the incarnation started, in milliseconds since 1970; 0 if the
     *     deregistration does not tell, which stands for the present incarnation
     */
    public void onUpstreamDeregistered(String instance, long bornMillis) {
        loop.execute(
                () -> {
                    if (notice == null || !notice.instance().equals(instance)) {
                        return;
                    }
                    if (bornMillis != 0 && bornMillis != notice.bornMillis()) {
                        EventLog.event("deregistration-ignored")
                                .field("boot", notice.boot())
                                .field("born", bornMillis)
                                .info();
                    } else {
                        notice = notice.withStateGone();
                        EventLog.event("upstream-departed")
                                .field("boot", notice.boot())
                                .field("born", bornMillis)
                                .field("polled-ago", lease.clockAgeMillis(Clocks.monotonicMillis()))
                                .field("running", running.size())
                                .info();
                        reportIfDispatcherKnown();
                    }
                });
    }

    private void applyNotice(UpstreamNotice newNotice) {
        if (!newNotice.newerThan(notice)) {
            return;
        }
        boolean newBoot = notice == null || !notice.boot().equals(newNotice.boot());
        boolean stateChanged = newBoot || notice.state() != newNotice.state();
        String bootBefore = notice == null ? "" : notice.boot();
        notice = newNotice;
        if (newBoot) {
            resetBootState();
        }
        if (stateChanged) {
            EventLog.event("upstream-changed")
                    .field("boot", newNotice.boot())
                    .field("before", bootBefore)
                    .field("state", newNotice.state().text())
                    .field("leaves-in", newNotice.leavesInMillis())
                    .field("sequence", newNotice.sequence())
                    .info();
            reportIfDispatcherKnown();
            pollContinuously();
        }
    }

    private void resetBootState() {
        running = List.of();
        ended = List.of();
        barredRuns.clear();
        pendingOrders.clear();
        acknowledgedEndNumber = 0;
        lease.reset();
        polledSinceBoot = false;
        polling = false;
        bootCount++;
    }

    private void addEntryAddresses(List<String> addresses) {
        entryAddresses.addAll(PeerAddresses.filterValid(addresses, metrics));
    }

    private void findDispatcher() {
        if (closed || searching) {
            return;
        }
        searching = true;
        List<String> addresses = new ArrayList<>(entryAddresses);
        if (addresses.isEmpty()) {
            searching = false;
            loop.schedule(this::findDispatcher, SEARCH_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        String entry = addresses.get(Math.floorMod(nextEntryIndex++, addresses.size()));
        http.send(
                        HttpClient.request("GET", entry, "/agent/dispatcher", null).build(),
                        SEARCH_TIMEOUT)
                .thenApply(response -> response.read(PeerHello.class))
                .whenCompleteAsync(this::onSearchResponse, loop);
    }

    private void onSearchResponse(PeerHello hello, Throwable error) {
        searching = false;
        if (error == null) {
            addEntryAddresses(hello.entries());
        }
        if (error == null && HttpClient.isAddress(hello.dispatcher()) && hello.epoch() >= epoch) {
            dispatcherAddress = hello.dispatcher();
            sendReport();
        } else {
            loop.schedule(this::findDispatcher, SEARCH_RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void reportIfDispatcherKnown() {
        if (!dispatcherAddress.isEmpty()) {
            sendReport();
        }
    }

    private void sendReport() {
        if (closed || pendingReports >= MAX_PENDING_REPORTS) {
            return;
        }
        pendingReports++;
        long now = Clocks.monotonicMillis();
        String target = dispatcherAddress;
        UpstreamNotice reportedNotice = notice;
        // 0 means that the upstream's clock is unknown; then the response renews no lease.
        long upstreamClockAtSend = polledSinceBoot ? lease.clockMillis(now) : 0;
        AgentReport report =
                new AgentReport(
                        name,
                        processId,
                        ++sequence,
                        epoch,
                        reportedNotice,
                        polledSinceBoot,
                        lease.clockAgeMillis(now),
                        running,
                        ended,
                        List.copyOf(barredRuns.values()));
        http.send(
                        HttpClient.request("POST", target, "/agent/report", report).build(),
                        REPORT_TIMEOUT)
                .whenCompleteAsync(
                        (response, error) -> {
                            pendingReports--;
                            onReportResponse(
                                    target, reportedNotice, upstreamClockAtSend, response, error);
                        },
                        loop);
    }

    private void onReportResponse(
            String target,
            UpstreamNotice reportedNotice,
            long upstreamClockAtSend,
            HttpClientResponse response,
            Throwable error) {
        if (closed) {
            return;
        }
        AgentOrders orders = readOrders(response, error);
        if (orders == null) {
            if (target.equals(dispatcherAddress) && !dispatcherAddress.isEmpty()) {
                EventLog.event("dispatcher-lost")
                        .field("dispatcher", target)
                        .field("epoch", epoch)
                        .field("status", response == null ? 0 : response.status())
                        .field("error", error == null ? null : Failures.causeOf(error))
                        .info();
                dispatcherAddress = "";
            }
            if (dispatcherAddress.isEmpty()) {
                loop.schedule(this::findDispatcher, SEARCH_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            }
            return;
        }
        if (orders.epoch() >= epoch) {
            applyOrders(orders, reportedNotice, upstreamClockAtSend);
        }
        if (pendingReports == 0) {
            reportIfDispatcherKnown();
        }
    }

    /** Returns the orders in a response; null if the call failed or the orders cannot be read. */
    private static AgentOrders readOrders(HttpClientResponse response, Throwable error) {
        if (error != null || !response.isSuccess()) {
            return null;
        }
        try {
            return response.read(AgentOrders.class);
        } catch (SchedulerException e) {
            EventLog.event("orders-unreadable").error(e).warn();
            return null;
        }
    }

    private void applyOrders(
            AgentOrders orders, UpstreamNotice reportedNotice, long upstreamClockAtSend) {
        boolean newEpoch = orders.epoch() > epoch;
        epoch = orders.epoch();
        addEntryAddresses(orders.entries());
        // The report and the orders must concern the present incarnation of the upstream.
        boolean sameBoot =
                notice != null
                        && reportedNotice != null
                        && reportedNotice.boot().equals(notice.boot())
                        && orders.boot().equals(notice.boot());
        if (!sameBoot) {
            return;
        }
        acknowledgedEndNumber = Math.max(acknowledgedEndNumber, orders.acknowledged());
        if (orders.leaseMillis() > 0 && upstreamClockAtSend > 0) {
            lease.extend(upstreamClockAtSend + orders.leaseMillis());
        }
        removeUnorderedBarredRuns(orders);
        if (newEpoch || !polledSinceBoot) {
            pollContinuously();
        }
        if (polledSinceBoot && lease.mustBeSent(Clocks.monotonicMillis())) {
            pollOnce(Duration.ZERO, () -> {}, () -> {});
        }
        orders.stops().forEach(this::stopRun);
        if (notice.state() == UpstreamState.READY) {
            orders.starts().forEach(this::startRun);
        }
    }

    /** Removes the barred runs for which the dispatcher sends no orders any more. */
    private void removeUnorderedBarredRuns(AgentOrders orders) {
        Set<String> orderedRuns = new HashSet<>();
        orders.starts().forEach(s -> orderedRuns.add(RunLists.runId(s.task(), s.run())));
        orders.stops().forEach(s -> orderedRuns.add(RunLists.runId(s.task(), s.run())));
        barredRuns.keySet().retainAll(orderedRuns);
    }

    /** Returns the fencing token for calls to the present incarnation of the upstream. */
    private long token() {
        return FencingToken.of(epoch, notice.bornMillis());
    }

    private void startRun(StartOrder order) {
        String runId = RunLists.runId(order.task(), order.run());
        if (!order.boot().equals(notice.boot())
                || barredRuns.containsKey(runId)
                || lease.untilMillis() == 0) {
            return;
        }
        if (!pendingOrders.add(runId)) {
            return;
        }
        String boot = notice.boot();
        upstream.start(notice.instance(), order, token(), lease.untilMillis())
                .whenCompleteAsync(
                        (result, error) -> {
                            if (boot.equals(notice.boot())) {
                                pendingOrders.remove(runId);
                                onStartResult(order, result, error);
                            }
                        },
                        loop);
    }

    private void onStartResult(StartOrder order, OrderResult result, Throwable error) {
        logOrder("run-start", order.task(), order.run(), order.boot(), result, error);
        metrics.count("agent.starts." + (result == null ? "unanswered" : result));
        if (result == null) {
            return;
        }
        switch (result) {
            case DONE -> {
                addRunning(order);
                reportIfDispatcherKnown();
            }
            // The run will not start. A stop makes the upstream bar the run, so that the dispatcher
            // can end the run.
            case NO_ROOM, NO_TICKET, INVALID, SUPERSEDED ->
                    stopRun(new StopOrder(order.task(), order.run(), order.boot()));
            case FENCED, LATE, BUSY, OTHER_BOOT -> {
                // The dispatcher repeats the order, with a newer lease, until the order is
                // obsolete.
            }
            default ->
                    throw new IllegalStateException(
                            "result of the start order for run "
                                    + RunLists.runId(order.task(), order.run())
                                    + " is not handled: "
                                    + result);
        }
    }

    private void logOrder(
            String event, String task, int run, String boot, OrderResult result, Throwable error) {
        EventLog.event(event)
                .field("task", task)
                .field("run", run)
                .field("boot", boot)
                .field("epoch", epoch)
                .field("answer", result == null ? Failures.causeOf(error) : result)
                .info();
    }

    /** Adds a started run to the runs, unless the run or a later run of its task is listed. */
    private void addRunning(StartOrder order) {
        for (RunStatus status : running) {
            if (status.task().equals(order.task()) && status.run() >= order.run()) {
                return;
            }
        }
        List<RunStatus> updated = new ArrayList<>(running);
        // Full speed and no load are assumed until the next poll.
        updated.add(new RunStatus(order.task(), order.run(), order.checkpoint(), 100, 0));
        running = updated;
    }

    private void stopRun(StopOrder order) {
        String runId = RunLists.runId(order.task(), order.run());
        if (!order.boot().equals(notice.boot())
                || barredRuns.containsKey(runId)
                || !pendingOrders.add("stop " + runId)) {
            return;
        }
        upstream.stop(notice.instance(), order, token())
                .whenCompleteAsync(
                        (result, error) -> {
                            pendingOrders.remove("stop " + runId);
                            onStopResult(order, result, error);
                        },
                        loop);
    }

    private void onStopResult(StopOrder order, OrderResult result, Throwable error) {
        logOrder("run-stop", order.task(), order.run(), order.boot(), result, error);
        if (result == OrderResult.DONE && order.boot().equals(notice.boot())) {
            barIfAbsent(order);
        }
    }

    /**
     * Adds a stopped run to the barred runs if a poll lists the run neither as running nor as
     * ended. Such a run does not exist, and the upstream refuses to start it because it was
     * stopped. The next report informs the dispatcher, which then ends the run.
     */
    private void barIfAbsent(StopOrder order) {
        pollOnce(
                Duration.ZERO,
                () -> {
                    if (!order.boot().equals(notice.boot())) {
                        return;
                    }
                    if (!RunLists.contain(running, ended, order.task(), order.run())) {
                        barredRuns.put(RunLists.runId(order.task(), order.run()), order);
                        reportIfDispatcherKnown();
                    }
                },
                () -> {});
    }

    /**
     * Polls the upstream repeatedly. Does nothing if polling is already in progress, if the agent
     * is closed, if the upstream is unknown or gone, or if no dispatcher has responded yet (epoch
     * 0).
     */
    private void pollContinuously() {
        if (closed || polling || notice == null || epoch == 0) {
            return;
        }
        if (notice.state() == UpstreamState.GONE) {
            return;
        }
        polling = true;
        long bootCountAtCall = bootCount;
        Duration wait = ended.isEmpty() && polledSinceBoot ? POLL_WAIT : Duration.ZERO;
        pollOnce(
                wait,
                () -> {
                    if (bootCountAtCall == bootCount) {
                        polling = false;
                        long pause = ended.isEmpty() ? 1 : UNACKNOWLEDGED_ENDS_PAUSE_MILLIS;
                        loop.schedule(this::pollContinuously, pause, TimeUnit.MILLISECONDS);
                    }
                },
                () -> {
                    metrics.count("agent.looks-failed");
                    polling = false;
                    loop.schedule(this::pollContinuously, POLL_RETRY_MILLIS, TimeUnit.MILLISECONDS);
                });
    }

    private void pollOnce(Duration wait, Runnable onSuccess, Runnable onFailure) {
        String boot = notice.boot();
        long bootCountAtCall = bootCount;
        upstream.poll(notice.instance(), token(), acknowledgedEndNumber, lease.send(), wait)
                .whenCompleteAsync(
                        (snapshot, error) -> {
                            // The snapshot is obsolete if the upstream has restarted since the
                            // call.
                            if (closed || bootCountAtCall != bootCount) {
                                return;
                            }
                            if (error == null) {
                                applySnapshot(boot, snapshot);
                                onSuccess.run();
                            } else {
                                onFailure.run();
                            }
                        },
                        loop);
    }

    private void applySnapshot(String boot, UpstreamSnapshot snapshot) {
        if (!boot.equals(notice.boot())) {
            return;
        }
        if (snapshot.bornMillis() != 0 && snapshot.bornMillis() != notice.bornMillis()) {
            EventLog.event("upstream-reborn")
                    .field("boot", boot)
                    .field("born", snapshot.bornMillis())
                    .info();
            applyNotice(notice.restartedAt(snapshot.bornMillis()));
            return;
        }
        boolean endsChanged =
                !polledSinceBoot
                        || !RunLists.endNumbers(snapshot.ended())
                                .equals(RunLists.endNumbers(ended));
        boolean runsChanged = !RunLists.runIds(snapshot.running()).equals(RunLists.runIds(running));
        polledSinceBoot = true;
        lease.readClock(snapshot.clockMillis(), Clocks.monotonicMillis());
        running = snapshot.running();
        ended = snapshot.ended();
        if (endsChanged || runsChanged) {
            reportIfDispatcherKnown();
        }
    }
}
