package org.fescueloom.daemon.dispatch;

import java.net.ConnectException;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.Failures;

/**
 * Takes part in the election of the dispatcher and forwards calls to it.
 *
 * <p>An entry that has not heard from the dispatcher for a while asks the other entries, and claims
 * to be the dispatcher if none of them has heard from it. A wrong suspicion costs a change of the
 * dispatcher but violates no guarantee, because the log service rejects the appends of a replaced
 * dispatcher.
 */
public final class EntryNode {
    /** The interval between checks of the fleet view, the dispatcher and the candidacy. */
    private static final long TICK_MILLIS = 50;

    /** The interval between hello messages to the dispatcher. */
    private static final long HELLO_INTERVAL_MILLIS = 400;

    /**
     * The maximum time to wait for the response to a hello message. A response takes far less: some
     * 3 ms, or several times as long from a slow entry.
     */
    private static final Duration HELLO_TIMEOUT = Duration.ofMillis(800);

    /** The dispatcher is suspected after this time without a response. */
    private static final long SUSPECT_AFTER_MILLIS = 1_400;

    /**
     * If another entry has heard from the dispatcher within this time, the candidacy is cancelled.
     * The next candidacy then starts after the same time at the earliest.
     */
    private static final long HEARD_BY_OTHERS_MILLIS = 1_000;

    /**
     * A dispatcher whose appends fail for this long is suspected. An entry that can reach the log
     * service then replaces it.
     */
    private static final long MAX_LOG_FAILING_MILLIS = 900;

    /**
     * While an entry waits for its turn to claim, it asks some other entries again after this time:
     * one of them may have heard of a claim that was made before this entry was known.
     */
    private static final long ASK_AGAIN_MILLIS = 300;

    /** How many other entries are asked again. */
    private static final int MAX_ASKED_AGAIN = 3;

    /** The maximum number of concurrent calls to other entries. */
    private static final int MAX_CALLS = 64;

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final String address;
    private final String processId = UUID.randomUUID().toString();
    private final LogAccess logAccess;
    private final DispatchTimings timings;
    private final ScheduledExecutorService loop;
    private final FleetFollower follower;
    private final PeerFleetSync fleetSync;
    private final Metrics metrics;
    private final HttpClient http = new HttpClient(MAX_CALLS, CONNECT_TIMEOUT);
    private final IntakeWriter intake;
    private final JobApi entryJobApi;

    /** Used only to read the clocks; each dispatcher has its own instance to confirm its claim. */
    private final LogServiceContact clocks = LogServiceContact.withSystemClocks();

    private final Candidacy candidacy;
    private final EntryRoster roster;

    /** The processor time of the machine, in cores. */
    private final double cores;

    private volatile Dispatcher dispatcher;
    private volatile String dispatcherAddress = "";

    /** The highest known epoch; 0 if none. */
    private long epoch;

    private long dispatcherHeardMillis;

    /** Before the first hello: half of the minimum, so that time differences do not overflow. */
    private long helloSentMillis = Long.MIN_VALUE / 2;

    private boolean helloPending;

    /** When other entries were last asked during the present candidacy. */
    private long askedOthersMillis;

    /** The address of the dispatcher that this entry replaced; empty if none. */
    private String replacedAddress = "";

    private SuspicionReason lastSuspicion = SuspicionReason.SILENT;
    private volatile boolean shuttingDown;

    /**
     * Creates an entry that is not started.
     *
     * @param address the address of this entry for other processes of the system, as "host:port",
     *     not null
     * @param cores the processor time of the machine, in cores; entries with more of it are
     *     preferred as dispatcher
     * @param seeds the addresses of entries to try first, not null
     * @param logAccess the access to the logs of jobs, not null
     * @param timings the time limits of the dispatcher, not null
     * @param loop the event loop of the entry, not null
     * @param follower supplies the fleet view, not null
     * @param metrics counts calls and retries, not null
     */
    public EntryNode(
            String address,
            double cores,
            List<String> seeds,
            LogAccess logAccess,
            DispatchTimings timings,
            ScheduledExecutorService loop,
            FleetFollower follower,
            Metrics metrics) {
        this.address = address;
        this.cores = cores;
        this.logAccess = logAccess;
        KeyedLog log = logAccess.service();
        this.timings = timings;
        this.loop = loop;
        this.follower = follower;
        this.metrics = metrics;
        fleetSync = new PeerFleetSync(follower, http, this::sendHello, loop);
        IntakePartitions partitions =
                IntakePartitions.create(logAccess, address, loop, clocks, metrics);
        intake = new IntakeWriter(partitions, http, entryState(), loop, clocks, metrics);
        entryJobApi =
                new EntryJobApi(
                        intake,
                        new JobQueryForwarder(
                                http,
                                () -> dispatcherAddress,
                                fleetSync::connectivity,
                                loop,
                                metrics));
        DispatchClaim claim = new DispatchClaim(address, processId);
        candidacy =
                new Candidacy(
                        log,
                        new ClaimAttempt(log, claim, clocks),
                        follower::logHealthyForMillis,
                        clocks,
                        loop,
                        this::onClaimStored,
                        this::onClaimResult);
        roster = new EntryRoster(address, cores, metrics);
        roster.add(seeds);
    }

    /**
     * Adds the routes for other processes of the system. Must be called before the server starts.
     *
     * @param server the server for other processes, not null
     */
    public void routes(HttpServer server) {
        server.route("POST", "/peer/hello", call -> onLoop(() -> handleHello(call)));
        server.route("GET", "/peer/fleet", call -> completedReply(follower.snapshot()));
        server.route("GET", "/agent/dispatcher", call -> onLoop(this::ownHello));
        new DispatcherRoutes(() -> dispatcher, loop).routes(server);
        new IntakeRoutes(intake).routes(server);
    }

    /** Starts the entry. */
    public void start() {
        // No dispatcher has been heard yet; this counts as a dispatcher silent for too long.
        dispatcherHeardMillis = now() - SUSPECT_AFTER_MILLIS;
        EntryDirectory.Registration own = new EntryDirectory.Registration(processId, cores);
        new EntryDirectory(logAccess.service(), address, own, loop, this::onRegistrations).start();
        loop.schedule(this::tick, 0, TimeUnit.MILLISECONDS);
    }

    /**
     * Notifies the other entries that this entry shuts down. If this entry is the dispatcher, an
     * entry that is not shutting down replaces it; until then this entry remains the dispatcher.
     * Calls are forwarded as before.
     */
    public void announceShutdown() {
        shuttingDown = true;
        loop.execute(
                () -> {
                    if (dispatcher != null) {
                        dispatcher.yieldToClaims();
                    }
                    roster.others().forEach(this::sendHello);
                });
    }

    /**
     * Adds addresses at which entries may be reached; counts and skips invalid ones.
     *
     * @param seeds the addresses, not null
     */
    public void addSeedAddresses(List<String> seeds) {
        loop.execute(() -> roster.add(seeds));
    }

    /** Closes the entry and its connections. If this entry is the dispatcher, it steps down. */
    public void close() {
        loop.execute(
                () -> {
                    if (dispatcher != null) {
                        stepDown("shut down");
                    }
                    http.close();
                });
    }

    /**
     * Tests whether this entry is the dispatcher.
     *
     * @return whether this entry is the dispatcher, as far as it knows; another entry may already
     *     have replaced it
     */
    public boolean isDispatcher() {
        return dispatcher != null;
    }

    /**
     * Tests whether this entry can serve calls.
     *
     * @return whether this entry is not shutting down, the configuration is known, and the log
     *     service or another entry has responded recently
     */
    public boolean ready() {
        return !shuttingDown
                && follower.view().configuration() != null
                && fleetSync.connectivity() != Connectivity.CUT_OFF;
    }

    /**
     * Returns the interface to submit, cancel and query jobs.
     *
     * @return the interface, never null
     */
    public JobApi jobApi() {
        return entryJobApi;
    }

    private EntryState entryState() {
        return new EntryState(
                follower::logFailing,
                fleetSync::connectivity,
                fleetSync::peersWithLogAccess,
                job -> dispatcher != null && dispatcher.hasStoredJob(job),
                () -> dispatcher != null || now() - dispatcherHeardMillis < SUSPECT_AFTER_MILLIS);
    }

    /** Returns a completed future of a JSON reply. */
    static CompletableFuture<HttpServerResponse> completedReply(Object body) {
        return CompletableFuture.completedFuture(HttpServerResponse.json(body));
    }

    private CompletableFuture<HttpServerResponse> onLoop(Supplier<Object> work) {
        return CompletableFuture.supplyAsync(() -> HttpServerResponse.json(work.get()), loop);
    }

    private PeerHello handleHello(HttpCall call) {
        applyHello(call.read(PeerHello.class));
        return ownHello();
    }

    private PeerHello ownHello() {
        Dispatcher own = dispatcher;
        return new PeerHello(
                address,
                epoch,
                own != null ? address : dispatcherAddress,
                own != null ? 0 : now() - dispatcherHeardMillis,
                own != null ? own.logFailingForMillis() : 0,
                follower.view().offset(),
                follower.viewCurrent() ? follower.ageMillis() : PeerHello.UNKNOWN_AGE_MILLIS,
                !follower.logFailing(),
                shuttingDown,
                cores,
                roster.all());
    }

    /** Learns entries and the dispatcher from a hello message of another entry. */
    private void applyHello(PeerHello hello) {
        roster.add(hello.entries());
        if (!HttpClient.isAddress(hello.address())) {
            return;
        }
        fleetSync.onHello(hello);
        roster.add(hello.address(), hello.cores());
        if (hello.epoch() > epoch) {
            followClaim(hello.dispatcher(), hello.epoch());
        } else if (hello.epoch() == epoch
                && hello.leaving()
                && dispatcherAddress.equals(hello.address())) {
            suspect(SuspicionReason.LEAVING);
        } else if (hello.epoch() == epoch
                && dispatcherAddress.isEmpty()
                && !hello.leaving()
                && hello.dispatcher().equals(hello.address())) {
            dispatcherAddress = hello.address();
            markDispatcherHeard();
        }
    }

    /**
     * Accepts the holder of a newer claim as the dispatcher; has no effect if the epoch of the
     * claim is not higher than the known one.
     */
    private void followClaim(String newDispatcher, long newEpoch) {
        if (newEpoch <= epoch) {
            return;
        }
        epoch = newEpoch;
        if (dispatcher != null) {
            stepDown("higher epoch " + epoch);
        }
        // If the claim names this address, it was made by an earlier incarnation of this entry,
        // which no longer exists. An invalid address cannot be called. In both cases there is no
        // dispatcher.
        dispatcherAddress =
                newDispatcher.equals(address) || !HttpClient.isAddress(newDispatcher)
                        ? ""
                        : newDispatcher;
        markDispatcherHeard();
        EventLog.event("dispatcher-changed")
                .field("epoch", epoch)
                .field("dispatcher", dispatcherAddress)
                .info();
    }

    private void markDispatcherHeard() {
        dispatcherHeardMillis = now();
        candidacy.cancel();
        lastSuspicion = SuspicionReason.SILENT;
    }

    /**
     * Suspects the dispatcher at once, instead of after {@link #SUSPECT_AFTER_MILLIS} without a
     * response.
     */
    private void suspect(SuspicionReason reason) {
        dispatcherHeardMillis = now() - SUSPECT_AFTER_MILLIS;
        lastSuspicion = reason;
    }

    private void onRegistrations(Map<String, EntryDirectory.Registration> registrations) {
        registrations.forEach((entry, described) -> roster.add(entry, described.cores()));
    }

    private CompletableFuture<PeerHello> sendHello(String peer) {
        LogServiceContact.ClockReading sent = follower.now();
        return http.send(
                        HttpClient.request("POST", peer, "/peer/hello", ownHello()).build(),
                        HELLO_TIMEOUT)
                .thenApply(response -> response.read(PeerHello.class))
                .whenCompleteAsync(
                        (hello, error) -> {
                            if (error == null) {
                                applyHello(hello);
                                fleetSync.onHelloResponse(hello, sent);
                            }
                        },
                        loop);
    }

    private void tick() {
        try {
            fleetSync.askPeersIfStale(dispatcherAddress, roster.others());
            if (dispatcher == null && !shuttingDown) {
                watchDispatcher();
            }
        } finally {
            loop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Sends hello messages to the dispatcher, and runs a candidacy while the dispatcher is
     * suspected.
     */
    private void watchDispatcher() {
        long now = now();
        if (dispatcherAddress.equals(address)) {
            if (candidacy.claiming()) {
                return;
            }
            // This entry has stored a claim, but could not load the stored state: there is no
            // dispatcher.
            dispatcherAddress = "";
        }
        if (!dispatcherAddress.isEmpty()
                && now - helloSentMillis >= HELLO_INTERVAL_MILLIS
                && !helloPending) {
            sendHelloToDispatcher(now);
        }
        if (now - dispatcherHeardMillis < SUSPECT_AFTER_MILLIS && !dispatcherAddress.isEmpty()) {
            return;
        }
        if (follower.view().configuration() == null) {
            // Without the configuration, this entry could not schedule tasks as the dispatcher.
            return;
        }
        if (!candidacy.started()) {
            if (candidacy.mayStart(suspicionReason(), now)) {
                startCandidacy(now);
            }
        } else {
            if (now - askedOthersMillis >= ASK_AGAIN_MILLIS) {
                List<String> others = roster.others();
                Collections.shuffle(others);
                askOthers(others.subList(0, Math.min(MAX_ASKED_AGAIN, others.size())), now);
            }
            candidacy.claimIfDue(now, roster.claimTurn(dispatcherAddress));
        }
    }

    private void sendHelloToDispatcher(long now) {
        helloSentMillis = now;
        helloPending = true;
        String target = dispatcherAddress;
        sendHello(target)
                .whenCompleteAsync(
                        (hello, error) -> {
                            helloPending = false;
                            if (error != null || !dispatcherAddress.equals(target)) {
                                return;
                            }
                            if (!hello.dispatcher().equals(target)) {
                                dispatcherAddress = "";
                            } else if (hello.leaving()) {
                                suspect(SuspicionReason.LEAVING);
                            } else if (hello.storeFailingMillis() >= MAX_LOG_FAILING_MILLIS) {
                                suspect(SuspicionReason.LOG_FAILS_IT);
                            } else {
                                markDispatcherHeard();
                            }
                        },
                        loop);
    }

    /**
     * Starts a candidacy, and asks the other entries whether they have heard from the dispatcher.
     */
    private void startCandidacy(long now) {
        roster.clearUnavailable();
        candidacy.start(suspicionReason(), now);
        EventLog.event("dispatcher-suspected")
                .field("dispatcher", dispatcherAddress)
                .field("epoch", epoch)
                .field("silent", now - dispatcherHeardMillis)
                .field("why", suspicionReason())
                .field("log-failing", follower.logFailing())
                .info();
        askOthers(roster.others(), now);
    }

    private void askOthers(List<String> others, long now) {
        askedOthersMillis = now;
        for (String peer : others) {
            if (!peer.equals(dispatcherAddress)) {
                sendHello(peer)
                        .whenCompleteAsync((hello, e) -> onCandidacyResponse(peer, hello, e), loop);
            }
        }
    }

    /**
     * Handles the response of another entry that was asked whether it has heard from the
     * dispatcher.
     */
    private void onCandidacyResponse(String peer, PeerHello hello, Throwable error) {
        if (error == null && hearsDispatcher(hello)) {
            candidacy.cancelAndPauseUntil(now() + HEARD_BY_OTHERS_MILLIS);
        } else if (error == null
                ? hello.leaving() || !hello.logServes()
                : Failures.causeOf(error) instanceof ConnectException) {
            roster.markUnavailable(peer);
        }
    }

    private SuspicionReason suspicionReason() {
        return dispatcherAddress.isEmpty() ? SuspicionReason.NO_DISPATCHER : lastSuspicion;
    }

    /**
     * Tests whether another entry has recently heard from the dispatcher. The response of the
     * dispatcher itself does not count, because the dispatcher always reports an age of 0.
     */
    private boolean hearsDispatcher(PeerHello hello) {
        return hello.epoch() == epoch
                && !hello.dispatcher().isEmpty()
                && hello.heardMillis() < HEARD_BY_OTHERS_MILLIS
                && !hello.address().equals(hello.dispatcher());
    }

    /**
     * Announces a stored claim to the other entries at once, so that none of them claims while this
     * entry loads the stored state.
     */
    private void onClaimStored(long newEpoch) {
        if (newEpoch > epoch) {
            epoch = newEpoch;
            replacedAddress = dispatcherAddress;
            dispatcherAddress = address;
            dispatcherHeardMillis = now();
            roster.others().forEach(this::sendHello);
        }
    }

    private void onClaimResult(ClaimAttempt.Result result) {
        if (result instanceof ClaimAttempt.Result.Won won) {
            becomeDispatcher(won.initialState());
        } else if (result instanceof ClaimAttempt.Result.ClaimedByOther other) {
            followClaim(other.claim().address(), other.epoch());
        } else {
            // Without a newer claim, only the dispatcher can have advanced the log, so the
            // dispatcher is alive.
            markDispatcherHeard();
        }
    }

    private void becomeDispatcher(Dispatcher.InitialState initialState) {
        if (initialState.epoch() < epoch) {
            // Another entry has claimed while this entry loaded the stored state.
            return;
        }
        epoch = initialState.epoch();
        dispatcher =
                new Dispatcher(
                        initialState,
                        timings,
                        logAccess,
                        loop,
                        LogServiceContact.withSystemClocks(),
                        follower::view,
                        () -> roster.all(),
                        metrics,
                        () -> stepDown("replaced"));
        dispatcherAddress = address;
        metrics.count("dispatcher.claims");
        SuspicionReason reason = candidacy.reason();
        metrics.count("dispatcher.claims." + reason.text());
        EventLog.event("dispatching")
                .field("epoch", epoch)
                .field("before", replacedAddress)
                .field("why", reason)
                .field("jobs", initialState.storedState().jobs().size())
                .field("config", follower.view().version())
                .info();
        dispatcher.start();
        roster.others().forEach(this::sendHello);
    }

    private void stepDown(String reason) {
        EventLog.event("stepped-down").field("epoch", epoch).field("reason", reason).info();
        Dispatcher previous = dispatcher;
        dispatcher = null;
        dispatcherAddress = "";
        dispatcherHeardMillis = now() - SUSPECT_AFTER_MILLIS;
        if (previous != null) {
            previous.close();
        }
    }

    private long now() {
        return clocks.now().monotonicMillis();
    }
}
