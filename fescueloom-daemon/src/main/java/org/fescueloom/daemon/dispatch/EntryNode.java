package org.fescueloom.daemon.dispatch;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpReply;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.Failures;

/**
 * Takes part in the election of the dispatcher and passes calls to it.
 *
 * <p>An entry that has not heard from the dispatcher for a while asks the other entries, and claims
 * leadership if none of them hears it. A wrong suspicion costs a change of the dispatcher and
 * breaks no promise: the log refuses the appends of the one that was replaced.
 */
public final class EntryNode {
    private static final long TICK_MILLIS = 50;

    /** How often the dispatcher is asked whether it lives. */
    private static final long HELLO_MILLIS = 400;

    /** An answer between two entries takes some 3 ms; a slowed one several times that. */
    private static final Duration HELLO_TIMEOUT = Duration.ofMillis(800);

    /** Without an answer for this long the dispatcher is suspected. */
    private static final long SUSPECT_MILLIS = 1_400;

    /** A dispatcher that others hear is left alone for this long. */
    private static final long HEARD_BY_OTHERS_MILLIS = 1_000;

    /** A dispatcher that the log service fails for this long is replaced if another can write. */
    private static final long STORE_FAILING_MILLIS = 900;

    private static final int MAX_CALLS = 64;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final String address;
    private final String process = UUID.randomUUID().toString();
    private final KeyedLog log;
    private final DispatchTimings terms;
    private final ScheduledExecutorService loop;
    private final FleetFollower follower;
    private final PeerFleetSync fleetExchange;
    private final Metrics metrics;
    private final HttpClient http = new HttpClient(MAX_CALLS, CONNECT_TIMEOUT);
    private final IntakeWriter intake;
    private final JobApi calls;
    private final LogServiceContact clocks = LogServiceContact.withSystemClocks();
    private final Candidacy candidacy;
    private final Set<String> entries = new TreeSet<>();
    private volatile Dispatcher dispatcher;
    private volatile String leader = "";
    private long epoch;
    private long leaderHeardMillis;
    private long helloMillis = Long.MIN_VALUE / 2;
    private boolean helloPending;
    private String replaced = "";
    private SuspicionReason suspicion = SuspicionReason.SILENT;
    private volatile boolean leaving;

    /**
     * Creates an entry that does not take part yet.
     *
     * @param address where other processes of the system reach it, as "address:port", not null
     * @param seeds where other entries may be reached, not null
     * @param log the log service, not null
     * @param terms the times of dispatching, not null
     * @param loop the one thread of the entry, not null
     * @param follower gives what operators have set, not null
     * @param metrics counts calls and retries, not null
     */
    public EntryNode(
            String address,
            List<String> seeds,
            KeyedLog log,
            DispatchTimings terms,
            ScheduledExecutorService loop,
            FleetFollower follower,
            Metrics metrics) {
        this.address = address;
        this.log = log;
        this.terms = terms;
        this.loop = loop;
        this.follower = follower;
        this.metrics = metrics;
        fleetExchange = new PeerFleetSync(follower, http, this::sayHello, loop);
        intake = new IntakeWriter(log, http, surroundings(), loop, clocks, metrics);
        calls =
                new EntryJobApi(
                        intake,
                        new JobQueryForwarder(
                                http, () -> leader, fleetExchange::reach, loop, metrics));
        DispatchClaim claim = new DispatchClaim(address, process);
        candidacy =
                new Candidacy(
                        log,
                        new ClaimAttempt(log, claim, clocks),
                        follower::logHealthyForMillis,
                        clocks,
                        loop,
                        this::claimed,
                        this::claimEnded);
        addEntries(seeds);
        entries.add(address);
    }

    /**
     * Adds the routes between the processes of the system; to be called before the server starts.
     *
     * @param server the server that other processes reach, not null
     */
    public void routes(HttpServer server) {
        server.route("POST", "/peer/hello", call -> onLoop(() -> answerHello(call)));
        server.route("GET", "/peer/fleet", call -> completedReply(follower.snapshot()));
        server.route("GET", "/agent/dispatcher", call -> onLoop(this::myHello));
        new DispatcherRoutes(() -> dispatcher, loop).routes(server);
        new IntakeRoutes(intake).routes(server);
    }

    /** Starts to take part. */
    public void start() {
        leaderHeardMillis = now() - SUSPECT_MILLIS;
        new EntryDirectory(log, address, process, loop, this::addEntries).start();
        loop.schedule(this::tick, 0, TimeUnit.MILLISECONDS);
    }

    /**
     * Tells the other entries that this one shuts down. One of them that does not takes over, if
     * this entry dispatches; until then it goes on, and calls are passed on as before.
     */
    public void announceShutdown() {
        leaving = true;
        loop.execute(() -> others().forEach(this::sayHello));
    }

    /**
     * Adds places where entries may be reached.
     *
     * @param seeds the addresses, not null
     */
    public void addSeedAddresses(List<String> seeds) {
        loop.execute(() -> addEntries(seeds));
    }

    /** Gives leadership up, if this entry holds it, and ends all calls. */
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
     * Tells whether this entry dispatches.
     *
     * @return whether it is the dispatcher as far as it knows
     */
    public boolean isDispatcher() {
        return dispatcher != null;
    }

    /**
     * Tells whether calls can be served.
     *
     * @return whether the configuration is known and the log service or another entry has answered
     *     lately
     */
    public boolean ready() {
        return !leaving
                && follower.view().configuration() != null
                && fleetExchange.reach() != Connectivity.CUT_OFF;
    }

    /**
     * Returns the interface that stores what callers hand in and asks the dispatcher for states.
     *
     * @return the interface, never null
     */
    public JobApi jobApi() {
        return calls;
    }

    private IntakeWriter.EntryState surroundings() {
        return new IntakeWriter.EntryState(
                follower::logFailing,
                fleetExchange::reach,
                fleetExchange::peersWithLogAccess,
                job -> dispatcher != null && dispatcher.hasStoredJob(job),
                () -> dispatcher != null || now() - leaderHeardMillis < SUSPECT_MILLIS);
    }

    /** Answers a call at once. */
    static CompletableFuture<HttpReply> completedReply(Object body) {
        return CompletableFuture.completedFuture(HttpReply.json(body));
    }

    private CompletableFuture<HttpReply> onLoop(Supplier<Object> work) {
        return CompletableFuture.supplyAsync(() -> HttpReply.json(work.get()), loop);
    }

    private PeerHello answerHello(HttpCall call) {
        learn(call.read(PeerHello.class));
        return myHello();
    }

    private PeerHello myHello() {
        Dispatcher mine = dispatcher;
        return new PeerHello(
                address,
                epoch,
                mine != null ? address : leader,
                mine != null ? 0 : now() - leaderHeardMillis,
                mine != null ? mine.logFailingForMillis() : 0,
                follower.view().offset(),
                follower.viewCurrent() ? follower.ageMillis() : PeerHello.UNKNOWN_AGE_MILLIS,
                !follower.logFailing(),
                leaving,
                List.copyOf(entries));
    }

    private void learn(PeerHello hello) {
        addEntries(hello.entries());
        if (!HttpClient.isAddress(hello.address())) {
            return;
        }
        fleetExchange.onHello(hello);
        entries.add(hello.address());
        if (hello.epoch() > epoch) {
            follow(hello.dispatcher(), hello.epoch());
        } else if (hello.epoch() == epoch && hello.leaving() && leader.equals(hello.address())) {
            suspect(SuspicionReason.LEAVING);
        } else if (hello.epoch() == epoch
                && leader.isEmpty()
                && !hello.leaving()
                && hello.dispatcher().equals(hello.address())) {
            leader = hello.address();
            heardLeader();
        }
    }

    /** Takes the holder of a newer claim for the dispatcher. */
    private void follow(String newer, long newerEpoch) {
        if (newerEpoch <= epoch) {
            return;
        }
        epoch = newerEpoch;
        if (dispatcher != null) {
            stepDown("higher epoch " + epoch);
        }
        // Others may still name an earlier life of this entry, which has gone.
        leader = newer.equals(address) || !HttpClient.isAddress(newer) ? "" : newer;
        heardLeader();
        EventLog.event("dispatcher-changed")
                .field("epoch", epoch)
                .field("dispatcher", leader)
                .info();
    }

    private void heardLeader() {
        leaderHeardMillis = now();
        candidacy.cancel();
        suspicion = SuspicionReason.SILENT;
    }

    /** Counts the dispatcher as not heard of for long enough to be replaced. */
    private void suspect(SuspicionReason reason) {
        leaderHeardMillis = now() - SUSPECT_MILLIS;
        suspicion = reason;
    }

    private void addEntries(List<String> addresses) {
        entries.addAll(PeerAddresses.filterValid(addresses, metrics));
    }

    private List<String> others() {
        List<String> all = new ArrayList<>(entries);
        all.remove(address);
        return all;
    }

    private CompletableFuture<PeerHello> sayHello(String peer) {
        LogServiceContact.ClockReading sent = follower.now();
        return http.send(
                        HttpClient.request("POST", peer, "/peer/hello", myHello()).build(),
                        HELLO_TIMEOUT)
                .thenApply(answer -> answer.read(PeerHello.class))
                .whenCompleteAsync(
                        (hello, error) -> {
                            if (error == null) {
                                learn(hello);
                                fleetExchange.onHelloAnswer(hello, sent);
                            }
                        },
                        loop);
    }

    private void tick() {
        try {
            fleetExchange.askPeersIfStale(leader, others());
            if (dispatcher == null && !leaving) {
                follow();
            }
        } finally {
            loop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void follow() {
        long now = now();
        if (leader.equals(address)) {
            if (candidacy.claiming()) {
                return;
            }
            // What is kept could not be loaded after the claim.
            leader = "";
        }
        if (!leader.isEmpty() && now - helloMillis >= HELLO_MILLIS && !helloPending) {
            helloLeader(now);
        }
        if (now - leaderHeardMillis < SUSPECT_MILLIS && !leader.isEmpty()) {
            return;
        }
        if (follower.view().configuration() == null) {
            return;
        }
        if (!candidacy.started()) {
            if (candidacy.mayStart(why(), now)) {
                askOthers(now);
            }
        } else {
            candidacy.tick(now);
        }
    }

    private void helloLeader(long now) {
        helloMillis = now;
        helloPending = true;
        String target = leader;
        sayHello(target)
                .whenCompleteAsync(
                        (hello, error) -> {
                            helloPending = false;
                            if (error != null || !leader.equals(target)) {
                                return;
                            }
                            if (!hello.dispatcher().equals(target)) {
                                leader = "";
                            } else if (hello.leaving()) {
                                suspect(SuspicionReason.LEAVING);
                            } else if (hello.storeFailingMillis() >= STORE_FAILING_MILLIS) {
                                suspect(SuspicionReason.LOG_FAILS_IT);
                            } else {
                                heardLeader();
                            }
                        },
                        loop);
    }

    /** Asks the other entries; sets when this one may claim. */
    private void askOthers(long now) {
        candidacy.start(why(), now, Candidacy.claimTurn(List.copyOf(entries), leader, address));
        EventLog.event("dispatcher-suspected")
                .field("dispatcher", leader)
                .field("epoch", epoch)
                .field("silent", now - leaderHeardMillis)
                .field("why", why())
                .field("log-failing", follower.logFailing())
                .info();
        for (String peer : others()) {
            if (!peer.equals(leader)) {
                sayHello(peer).whenCompleteAsync((hello, e) -> asked(peer, hello, e), loop);
            }
        }
    }

    /** Takes note of what another entry said when it was asked whether it hears the dispatcher. */
    private void asked(String peer, PeerHello hello, Throwable error) {
        if (error == null && hearsLeader(hello)) {
            candidacy.cancelAndPauseUntil(now() + HEARD_BY_OTHERS_MILLIS);
        } else if (error != null
                && Failures.causeOf(error) instanceof ConnectException
                && peer.compareTo(address) < 0) {
            candidacy.skipTurn();
        }
    }

    private SuspicionReason why() {
        return leader.isEmpty() ? SuspicionReason.NO_DISPATCHER : suspicion;
    }

    private boolean hearsLeader(PeerHello hello) {
        return hello.epoch() == epoch
                && !hello.dispatcher().isEmpty()
                && hello.heardMillis() < HEARD_BY_OTHERS_MILLIS
                && !hello.address().equals(hello.dispatcher());
    }

    /** Tells others of a claim at once, so that none of them claims while this entry loads. */
    private void claimed(long newEpoch) {
        if (newEpoch > epoch) {
            epoch = newEpoch;
            replaced = leader;
            leader = address;
            leaderHeardMillis = now();
            others().forEach(this::sayHello);
        }
    }

    private void claimEnded(ClaimAttempt.Result result) {
        if (result instanceof ClaimAttempt.Result.Won won) {
            lead(won.start());
        } else if (result instanceof ClaimAttempt.Result.ClaimedByOther overtaken) {
            follow(overtaken.claim().address(), overtaken.epoch());
        } else {
            heardLeader();
        }
    }

    private void lead(Dispatcher.InitialState start) {
        if (start.epoch() < epoch) {
            return;
        }
        epoch = start.epoch();
        dispatcher =
                new Dispatcher(
                        start,
                        terms,
                        log,
                        loop,
                        LogServiceContact.withSystemClocks(),
                        follower::view,
                        () -> List.copyOf(entries),
                        metrics,
                        () -> stepDown("replaced"));
        leader = address;
        metrics.count("dispatcher.claims");
        SuspicionReason why = candidacy.reason();
        metrics.count("dispatcher.claims." + why.text());
        EventLog.event("dispatching")
                .field("epoch", epoch)
                .field("before", replaced)
                .field("why", why)
                .field("jobs", start.content().jobs().size())
                .field("config", follower.view().version())
                .info();
        dispatcher.start();
        others().forEach(this::sayHello);
    }

    private void stepDown(String reason) {
        EventLog.event("stepped-down").field("epoch", epoch).field("reason", reason).info();
        Dispatcher old = dispatcher;
        dispatcher = null;
        leader = "";
        leaderHeardMillis = now() - SUSPECT_MILLIS;
        if (old != null) {
            old.close();
        }
    }

    private long now() {
        return clocks.now().monotonicMillis();
    }
}
