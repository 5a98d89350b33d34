package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
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

    /** The pause before the next entry is asked for the address of the dispatcher. */
    private static final long SEARCH_RETRY_MILLIS = 150;

    /** The maximum number of reports without a response. */
    private static final int MAX_PENDING_REPORTS = 3;

    /** The maximum number of concurrent calls to entries. */
    private static final int MAX_CALLS = 16;

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final String name;
    private final String processId = UUID.randomUUID().toString();
    private final UpstreamLink upstream;
    private final ScheduledExecutorService loop;
    private final Metrics metrics;
    private final HttpClient http = new HttpClient(MAX_CALLS, CONNECT_TIMEOUT);
    private final Set<String> entryAddresses = new LinkedHashSet<>();
    private String dispatcherAddress = "";
    private long epoch;
    private long sequence;
    private int pendingReports;
    private boolean searching;
    private int nextEntryIndex;
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
        this.upstream =
                new UpstreamLink(
                        upstream,
                        loop,
                        Clocks::monotonicMillis,
                        metrics,
                        this::reportIfDispatcherKnown);
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
        upstream.close();
        http.close();
    }

    /**
     * Handles a status report. A report of another incarnation than the present one takes effect
     * only once that incarnation has answered a poll.
     *
     * @param newNotice the report, not null
     */
    public void onNotice(UpstreamNotice newNotice) {
        loop.execute(() -> upstream.onReport(newNotice));
    }

    /**
     * Handles the deregistration of an incarnation of an upstream: it gets no new tasks, and is
     * polled at once. Its runs go on until it is known to have ended.
     *
     * @param instance the identifier of the upstream, not null
     * @param bornMillis when the incarnation started, in milliseconds since 1970; 0 if the
     *     deregistration does not tell, which stands for any incarnation of the upstream
     */
    public void onUpstreamDeregistered(String instance, long bornMillis) {
        loop.execute(() -> upstream.onDeregistration(instance, bornMillis));
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
        UpstreamNotice reportedNotice = upstream.notice();
        long upstreamClockAtSend = upstream.upstreamClockMillis(now);
        AgentReport report = upstream.report(name, processId, ++sequence, now);
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
        } else if (orders.epoch() >= epoch) {
            epoch = orders.epoch();
            addEntryAddresses(orders.entries());
            upstream.applyOrders(orders, reportedNotice, upstreamClockAtSend);
        }
        // Also after a failure, which may be that of the last report to an earlier dispatcher.
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
}
