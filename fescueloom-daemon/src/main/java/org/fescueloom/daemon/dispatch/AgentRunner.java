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
import org.fescueloom.daemon.http.HttpAnswer;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;

/**
 * Stands between the dispatcher and the upstream beside it, and is the only one that calls it.
 *
 * <p>Reports what the upstream holds, carries out the orders that come back, and renews the lease
 * of the runs only as far as the dispatcher has granted it. Keeps nothing that must last: a fresh
 * agent learns from the upstream what runs and from the dispatcher what should.
 */
public final class AgentRunner {
    /** A report waits for a second at the dispatcher; a slow answer takes a few hundred ms more. */
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(2_000);

    private static final Duration ASK_TIMEOUT = Duration.ofMillis(700);
    private static final Duration LOOK_WAIT = Duration.ofMillis(1_000);
    private static final long RETRY_MILLIS = 150;

    /** An upstream that does not answer is asked again after this time. */
    private static final long LOOK_RETRY_MILLIS = 250;

    /** Ends that are not stored yet come back at once; they are asked for again after this time. */
    private static final long UNSTORED_ENDS_MILLIS = 100;

    private static final int MAX_REPORTS = 3;
    private static final int MAX_CALLS = 16;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** The upstream's clock may run slower than ours; its reading is carried forward with care. */
    private static final double SLOW_CLOCK = 0.97;

    private final String name;
    private final String process = UUID.randomUUID().toString();
    private final UpstreamControl upstream;
    private final ScheduledExecutorService loop;
    private final Metrics metrics;
    private final HttpClient http = new HttpClient(MAX_CALLS, CONNECT_TIMEOUT);
    private final Set<String> entries = new LinkedHashSet<>();
    private final Map<String, StopOrder> barred = new HashMap<>();
    private final Set<String> inFlight = new HashSet<>();
    private UpstreamNotice notice;
    private String dispatcher = "";
    private long epoch;
    private long sequence;
    private int reportsPending;
    private boolean asking;
    private int askIndex;
    private long acknowledged;
    private long leaseUntil;
    private long clockMillis;
    private long clockReadMillis;
    private boolean looked;
    private boolean looking;
    private long lookSequence;
    private List<RunStatus> running = List.of();
    private List<EndedRun> ended = List.of();
    private volatile boolean closed;

    /**
     * Creates an agent that does nothing yet.
     *
     * @param name the name of the agent, which no other has, not null
     * @param seeds where entries may be reached, not null
     * @param upstream gives orders to the upstream, not null
     * @param loop the one thread of the agent, not null
     * @param metrics counts orders and retries, not null
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
        addEntries(seeds);
    }

    /** Starts to look for the dispatcher. */
    public void start() {
        loop.execute(this::findDispatcher);
    }

    /**
     * Adds places where entries may be reached.
     *
     * @param seeds the addresses, not null
     */
    public void addSeedAddresses(List<String> seeds) {
        loop.execute(() -> addEntries(seeds));
    }

    /** Ends all calls; what runs on the upstream goes on under its lease. */
    public void close() {
        closed = true;
        http.close();
    }

    /**
     * Takes what the upstream says of itself.
     *
     * @param newer the report, not null; an older one than the last has no effect
     */
    public void onNotice(UpstreamNotice newer) {
        loop.execute(() -> takeNotice(newer));
    }

    /**
     * Takes the deregistration of an upstream.
     *
     * @param instance its identifier, not null; another one than the present has no effect
     */
    public void onUpstreamDeregistered(String instance) {
        loop.execute(
                () -> {
                    if (notice != null && notice.instance().equals(instance)) {
                        notice = notice.withStateGone();
                        EventLog.event("upstream-departed").field("boot", notice.boot()).info();
                        reportSoon();
                    }
                });
    }

    private void takeNotice(UpstreamNotice newer) {
        if (!newer.newerThan(notice)) {
            return;
        }
        boolean boot = notice == null || !notice.boot().equals(newer.boot());
        boolean changed = boot || notice.state() != newer.state();
        notice = newer;
        if (boot) {
            forgetBoot();
        }
        if (changed) {
            EventLog.event("upstream-changed")
                    .field("boot", newer.boot())
                    .field("state", newer.state().text())
                    .field("leaves-in", newer.leavesInMillis())
                    .field("sequence", newer.sequence())
                    .info();
            reportSoon();
            look();
        }
    }

    private void forgetBoot() {
        running = List.of();
        ended = List.of();
        barred.clear();
        inFlight.clear();
        acknowledged = 0;
        leaseUntil = 0;
        looked = false;
        looking = false;
        lookSequence++;
    }

    private void addEntries(List<String> addresses) {
        entries.addAll(PeerAddresses.filterValid(addresses, metrics));
    }

    private void findDispatcher() {
        if (closed || asking) {
            return;
        }
        asking = true;
        List<String> known = new ArrayList<>(entries);
        if (known.isEmpty()) {
            asking = false;
            loop.schedule(this::findDispatcher, RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        String entry = known.get(Math.floorMod(askIndex++, known.size()));
        http.send(HttpClient.request("GET", entry, "/agent/dispatcher", null).build(), ASK_TIMEOUT)
                .thenApply(answer -> answer.read(PeerHello.class))
                .whenCompleteAsync(this::found, loop);
    }

    private void found(PeerHello hello, Throwable error) {
        asking = false;
        if (error == null) {
            addEntries(hello.entries());
        }
        if (error == null && HttpClient.isAddress(hello.dispatcher()) && hello.epoch() >= epoch) {
            dispatcher = hello.dispatcher();
            report();
        } else {
            loop.schedule(this::findDispatcher, RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void reportSoon() {
        if (!dispatcher.isEmpty()) {
            report();
        }
    }

    private void report() {
        if (closed || reportsPending >= MAX_REPORTS) {
            return;
        }
        reportsPending++;
        long now = Clocks.monotonicMillis();
        String target = dispatcher;
        UpstreamNotice about = notice;
        long clockAtSend = looked ? clockMillis + (long) ((now - clockReadMillis) * SLOW_CLOCK) : 0;
        AgentReport report =
                new AgentReport(
                        name,
                        process,
                        ++sequence,
                        epoch,
                        about,
                        looked,
                        now - clockReadMillis,
                        running,
                        ended,
                        List.copyOf(barred.values()));
        http.send(
                        HttpClient.request("POST", target, "/agent/report", report).build(),
                        REPORT_TIMEOUT)
                .whenCompleteAsync(
                        (answer, error) -> {
                            reportsPending--;
                            answered(target, about, clockAtSend, answer, error);
                        },
                        loop);
    }

    private void answered(
            String target,
            UpstreamNotice about,
            long clockAtSend,
            HttpAnswer answer,
            Throwable error) {
        if (closed) {
            return;
        }
        AgentOrders orders = readOrders(answer, error);
        if (orders == null) {
            if (target.equals(dispatcher) && !dispatcher.isEmpty()) {
                EventLog.event("dispatcher-lost")
                        .field("dispatcher", target)
                        .field("epoch", epoch)
                        .field("status", answer == null ? 0 : answer.status())
                        .field("error", error == null ? null : Failures.causeOf(error))
                        .info();
                dispatcher = "";
            }
            if (dispatcher.isEmpty()) {
                loop.schedule(this::findDispatcher, RETRY_MILLIS, TimeUnit.MILLISECONDS);
            }
            return;
        }
        if (orders.epoch() >= epoch) {
            follow(orders, about, clockAtSend);
        }
        if (reportsPending == 0) {
            reportSoon();
        }
    }

    private static AgentOrders readOrders(HttpAnswer answer, Throwable error) {
        if (error != null || !answer.isSuccess()) {
            return null;
        }
        try {
            return answer.read(AgentOrders.class);
        } catch (SchedulerException e) {
            EventLog.event("orders-unreadable").error(e).warn();
            return null;
        }
    }

    private void follow(AgentOrders orders, UpstreamNotice about, long clockAtSend) {
        boolean newEpoch = orders.epoch() > epoch;
        epoch = orders.epoch();
        addEntries(orders.entries());
        boolean sameBoot =
                notice != null
                        && about != null
                        && about.boot().equals(notice.boot())
                        && orders.boot().equals(notice.boot());
        if (!sameBoot) {
            return;
        }
        acknowledged = Math.max(acknowledged, orders.acknowledged());
        if (orders.leaseMillis() > 0 && clockAtSend > 0) {
            leaseUntil = Math.max(leaseUntil, clockAtSend + orders.leaseMillis());
        }
        forgetSettled(orders);
        if (newEpoch || !looked) {
            look();
        }
        orders.stops().forEach(this::stop);
        if (notice.state() == UpstreamState.READY) {
            orders.starts().forEach(this::startRun);
        }
    }

    /** Drops barred runs that the dispatcher no longer asks about. */
    private void forgetSettled(AgentOrders orders) {
        Set<String> asked = new HashSet<>();
        orders.starts().forEach(s -> asked.add(runName(s.task(), s.run())));
        orders.stops().forEach(s -> asked.add(runName(s.task(), s.run())));
        barred.keySet().retainAll(asked);
    }

    private static String runName(String task, int run) {
        return task + '#' + run;
    }

    private void startRun(StartOrder order) {
        String run = runName(order.task(), order.run());
        if (!order.boot().equals(notice.boot()) || barred.containsKey(run) || leaseUntil == 0) {
            return;
        }
        if (!inFlight.add(run)) {
            return;
        }
        String boot = notice.boot();
        upstream.start(notice.instance(), order, epoch, leaseUntil)
                .whenCompleteAsync(
                        (answer, error) -> {
                            if (boot.equals(notice.boot())) {
                                inFlight.remove(run);
                                started(order, answer, error);
                            }
                        },
                        loop);
    }

    private void started(StartOrder order, OrderResult answer, Throwable error) {
        note("run-start", order.task(), order.run(), order.boot(), answer, error);
        metrics.count("agent.starts." + (answer == null ? "unanswered" : answer));
        if (answer == null) {
            return;
        }
        switch (answer) {
            case DONE -> {
                addRunning(order);
                reportSoon();
            }
            case NO_ROOM, NO_TICKET, INVALID, SUPERSEDED ->
                    stop(new StopOrder(order.task(), order.run(), order.boot()));
            case FENCED, LATE, BUSY, OTHER_BOOT -> {
                // The dispatcher repeats the order, with a newer lease, while it stands.
            }
            default -> throw new IllegalStateException("unknown answer: " + answer);
        }
    }

    private void note(
            String event, String task, int run, String boot, OrderResult answer, Throwable error) {
        EventLog.event(event)
                .field("task", task)
                .field("run", run)
                .field("boot", boot)
                .field("epoch", epoch)
                .field("answer", answer == null ? Failures.causeOf(error) : answer)
                .info();
    }

    private void addRunning(StartOrder order) {
        for (RunStatus row : running) {
            if (row.task().equals(order.task()) && row.run() >= order.run()) {
                return;
            }
        }
        List<RunStatus> all = new ArrayList<>(running);
        all.add(new RunStatus(order.task(), order.run(), order.checkpoint(), 100, 0));
        running = all;
    }

    private void stop(StopOrder order) {
        String run = runName(order.task(), order.run());
        if (!order.boot().equals(notice.boot())
                || barred.containsKey(run)
                || !inFlight.add("stop " + run)) {
            return;
        }
        upstream.stop(notice.instance(), order, epoch)
                .whenCompleteAsync(
                        (answer, error) -> {
                            inFlight.remove("stop " + run);
                            stopped(order, answer, error);
                        },
                        loop);
    }

    private void stopped(StopOrder order, OrderResult answer, Throwable error) {
        note("run-stop", order.task(), order.run(), order.boot(), answer, error);
        if (answer == OrderResult.DONE && order.boot().equals(notice.boot())) {
            checkBarred(order);
        }
    }

    /** A run that is neither running nor listed as ended after a stop never existed. */
    private void checkBarred(StopOrder order) {
        hold(
                Duration.ZERO,
                () -> {
                    if (!order.boot().equals(notice.boot())) {
                        return;
                    }
                    boolean listed =
                            running.stream().anyMatch(r -> same(order, r.task(), r.run()))
                                    || ended.stream().anyMatch(e -> same(order, e.task(), e.run()));
                    if (!listed) {
                        barred.put(runName(order.task(), order.run()), order);
                        reportSoon();
                    }
                },
                () -> {});
    }

    private static boolean same(StopOrder order, String task, int run) {
        return order.task().equals(task) && order.run() == run;
    }

    /** Looks at the upstream again and again; does nothing if that goes on already. */
    private void look() {
        if (closed || looking || notice == null || epoch == 0) {
            return;
        }
        if (notice.state() == UpstreamState.GONE) {
            return;
        }
        looking = true;
        long mine = lookSequence;
        Duration wait = ended.isEmpty() && looked ? LOOK_WAIT : Duration.ZERO;
        hold(
                wait,
                () -> {
                    if (mine == lookSequence) {
                        looking = false;
                        long pause = ended.isEmpty() ? 1 : UNSTORED_ENDS_MILLIS;
                        loop.schedule(this::look, pause, TimeUnit.MILLISECONDS);
                    }
                },
                () -> {
                    metrics.count("agent.looks-failed");
                    looking = false;
                    loop.schedule(this::look, LOOK_RETRY_MILLIS, TimeUnit.MILLISECONDS);
                });
    }

    private void hold(Duration wait, Runnable then, Runnable otherwise) {
        String boot = notice.boot();
        long mine = lookSequence;
        upstream.poll(notice.instance(), epoch, acknowledged, leaseUntil, wait)
                .whenCompleteAsync(
                        (answer, error) -> {
                            if (closed || mine != lookSequence) {
                                return;
                            }
                            if (error == null) {
                                took(boot, answer);
                                then.run();
                            } else {
                                otherwise.run();
                            }
                        },
                        loop);
    }

    private void took(String boot, UpstreamSnapshot answer) {
        if (!boot.equals(notice.boot())) {
            return;
        }
        if (answer.bornMillis() != 0 && answer.bornMillis() != notice.bornMillis()) {
            EventLog.event("upstream-reborn")
                    .field("boot", boot)
                    .field("born", answer.bornMillis())
                    .info();
            takeNotice(notice.restartedAt(answer.bornMillis()));
            return;
        }
        boolean news = !looked || !endNumbers(answer.ended()).equals(endNumbers(ended));
        boolean runsChanged = !runNames(answer.running()).equals(runNames(running));
        looked = true;
        clockMillis = answer.clockMillis();
        clockReadMillis = Clocks.monotonicMillis();
        running = answer.running();
        ended = answer.ended();
        if (news || runsChanged) {
            reportSoon();
        }
    }

    private static Set<Long> endNumbers(List<EndedRun> rows) {
        Set<Long> numbers = new HashSet<>();
        rows.forEach(row -> numbers.add(row.number()));
        return numbers;
    }

    private static Set<String> runNames(List<RunStatus> rows) {
        Set<String> names = new HashSet<>();
        rows.forEach(row -> names.add(runName(row.task(), row.run())));
        return names;
    }
}
