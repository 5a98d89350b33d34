package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.work.Resources;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests an agent whose upstream starts again under its identifier. */
class AgentIncarnationTest {
    private static final long WAIT_SECONDS = 20;
    private static final String TASK = "00000000000000aa.0.0.0";

    /** The upstream needs longer than the resolution of fencing tokens to start again. */
    private static final long FIRST_BORN_MILLIS = 1_780_000_000_000L;

    private static final long SECOND_BORN_MILLIS = FIRST_BORN_MILLIS + 700;

    private final HttpServer entry = new HttpServer("127.0.0.1", 0, 1 << 20);
    private final ScheduledExecutorService loop = Timers.singleThread("agent");
    private final InMemoryUpstream upstream = new InMemoryUpstream("i-1", 60_000);
    private AgentRunner agent;
    private volatile AgentReport lastReport;

    /**
     * Responds to each report with an order to start run 1 of the task on the first incarnation.
     */
    @BeforeEach
    void start() {
        entry.route(
                "GET",
                "/agent/dispatcher",
                call ->
                        CompletableFuture.completedFuture(
                                HttpServerResponse.json(
                                        new PeerHello(
                                                address(), 1, address(), 0, 0, 0, 0, true, false,
                                                0.0, List.of()))));
        entry.route(
                "POST",
                "/agent/report",
                call -> {
                    lastReport = call.read(AgentReport.class);
                    UpstreamNotice notice = lastReport.notice();
                    String boot = notice == null ? "" : notice.boot();
                    StartOrder order =
                            new StartOrder(TASK, 1, "i-1@" + FIRST_BORN_MILLIS, "payload", "");
                    return CompletableFuture.completedFuture(
                            HttpServerResponse.json(
                                    new AgentOrders(
                                            1,
                                            7_000,
                                            boot,
                                            0,
                                            List.of(order),
                                            List.of(),
                                            true,
                                            List.of())));
                });
        entry.start();
        upstream.restart(FIRST_BORN_MILLIS);
        agent = new AgentRunner("a", List.of(address()), upstream, loop, new Metrics());
        agent.onNotice(notice("i-1", FIRST_BORN_MILLIS, 1));
        agent.start();
    }

    @AfterEach
    void stop() {
        agent.close();
        loop.shutdownNow();
        entry.close();
    }

    private String address() {
        return "127.0.0.1:" + entry.port();
    }

    private static UpstreamNotice notice(String instance, long bornMillis, long sequence) {
        return new UpstreamNotice(
                instance,
                bornMillis,
                "service",
                "zone",
                UpstreamState.READY,
                new Resources(8_000, 1_000, 8),
                List.of(),
                "",
                0,
                sequence);
    }

    /** Tests whether the last report names a polled upstream in a state. */
    private boolean reports(UpstreamState state) {
        AgentReport report = lastReport;
        return report != null
                && report.looked()
                && report.notice() != null
                && report.notice().state() == state;
    }

    private boolean runsTask() {
        AgentReport report = lastReport;
        return report.running().size() == 1 && upstream.runningTasks().size() == 1;
    }

    private boolean secondIncarnationPolled() {
        AgentReport report = lastReport;
        return report != null
                && report.looked()
                && report.notice().bornMillis() == SECOND_BORN_MILLIS;
    }

    @Nested
    class LateStartOrder {
        // Guards against the review's case 2: an order without a response was executed by the next
        // incarnation after its runs had been reported.
        @Test
        void isRefusedOnceTheNextIncarnationWasPolled() throws InterruptedException {
            upstream.delayStarts();
            Polling.await(() -> upstream.delayedStartCount() > 0, WAIT_SECONDS);
            upstream.restart(SECOND_BORN_MILLIS);
            Polling.await(AgentIncarnationTest.this::secondIncarnationPolled, WAIT_SECONDS);

            upstream.runDelayedStarts();

            assertThat(upstream.runningTasks()).isEmpty();
        }

        @Test
        void isReportedIfItWasExecutedBeforeTheNextIncarnationWasPolled()
                throws InterruptedException {
            upstream.delayStarts();
            Polling.await(() -> upstream.delayedStartCount() > 0, WAIT_SECONDS);
            upstream.restart(SECOND_BORN_MILLIS);
            upstream.runDelayedStarts();
            Polling.await(AgentIncarnationTest.this::secondIncarnationPolled, WAIT_SECONDS);

            // The order may have come after the first poll; it is listed if it was executed.
            assertThat(lastReport.running())
                    .extracting(RunStatus::task)
                    .isEqualTo(upstream.runningTasks());
        }
    }

    @Nested
    class LateDeregistration {
        // Guards against the review's LateLeave: the deregistration of an earlier incarnation ended
        // the runs of the present one.
        @Test
        void ofAnEarlierIncarnationIsIgnored() throws InterruptedException {
            upstream.restart(SECOND_BORN_MILLIS);
            Polling.await(AgentIncarnationTest.this::secondIncarnationPolled, WAIT_SECONDS);
            agent.onNotice(notice("i-1", SECOND_BORN_MILLIS, 1));
            Polling.await(() -> reports(UpstreamState.READY), WAIT_SECONDS);

            agent.onUpstreamDeregistered("i-1", FIRST_BORN_MILLIS);
            long sequence = lastReport.sequence();
            Polling.await(() -> lastReport.sequence() > sequence + 1, WAIT_SECONDS);

            assertThat(lastReport.notice().state()).isEqualTo(UpstreamState.READY);
        }
    }

    /** A deregistration of the present incarnation, with and without its start time. */
    @Nested
    class Deregistration {
        // Guards against issue 53: an upstream at work was reported as gone, and its tasks were
        // started elsewhere.
        @ParameterizedTest
        @ValueSource(longs = {0, FIRST_BORN_MILLIS})
        void leavesTheRunsToAnUpstreamThatAnswers(long bornMillis) throws InterruptedException {
            Polling.await(() -> reports(UpstreamState.READY) && runsTask(), WAIT_SECONDS);
            agent.onUpstreamDeregistered("i-1", bornMillis);
            Polling.await(() -> reports(UpstreamState.LEAVING), WAIT_SECONDS);
            long sequence = lastReport.sequence();
            Polling.await(() -> lastReport.sequence() > sequence + 2, WAIT_SECONDS);

            assertThat(lastReport.notice().state()).isEqualTo(UpstreamState.LEAVING);
            assertThat(lastReport.running()).hasSize(1);
            assertThat(upstream.runningTasks()).containsExactly(TASK);
        }

        @ParameterizedTest
        @ValueSource(longs = {0, FIRST_BORN_MILLIS})
        void endsAnUpstreamOnceItsProcessHasEnded(long bornMillis) throws InterruptedException {
            Polling.await(() -> reports(UpstreamState.READY), WAIT_SECONDS);
            agent.onUpstreamDeregistered("i-1", bornMillis);
            upstream.endProcess();

            Polling.await(() -> reports(UpstreamState.GONE), WAIT_SECONDS);
        }

        @Test
        void isOvercomeByTheNextStatusReport() throws InterruptedException {
            Polling.await(() -> reports(UpstreamState.READY), WAIT_SECONDS);
            agent.onUpstreamDeregistered("i-1", 0);
            Polling.await(() -> reports(UpstreamState.LEAVING), WAIT_SECONDS);
            agent.onNotice(notice("i-1", FIRST_BORN_MILLIS, 2));

            Polling.await(() -> reports(UpstreamState.READY), WAIT_SECONDS);
        }

        // Without a deregistration, a refused connection may be a matter of a moment.
        @Test
        void isNeededForARefusedConnectionToEndAnUpstream() throws InterruptedException {
            Polling.await(() -> reports(UpstreamState.READY), WAIT_SECONDS);
            upstream.endProcess();
            long sequence = lastReport.sequence();
            Polling.await(() -> lastReport.sequence() > sequence + 5, WAIT_SECONDS);

            assertThat(lastReport.notice().state()).isEqualTo(UpstreamState.READY);
        }
    }

    @Nested
    class ReportsOfOtherWriters {
        // Guards against issue 53: one report of another identifier with a later start took the
        // machine out of service and ended its runs.
        @Test
        void ofAnotherIdentifierChangeNothing() throws InterruptedException {
            Polling.await(() -> reports(UpstreamState.READY) && runsTask(), WAIT_SECONDS);
            agent.onNotice(notice("i-9", SECOND_BORN_MILLIS, 1));
            expectNothingChanges();
        }

        @Test
        void ofALaterStartChangeNothing() throws InterruptedException {
            Polling.await(() -> reports(UpstreamState.READY) && runsTask(), WAIT_SECONDS);
            agent.onNotice(notice("i-1", SECOND_BORN_MILLIS, 1));
            expectNothingChanges();
        }

        // An agent that has just started knows nothing of its upstream.
        @Test
        void beforeTheFirstOneOfTheUpstreamChangeNothing() throws InterruptedException {
            agent.close();
            agent = new AgentRunner("a", List.of(address()), upstream, loop, new Metrics());
            lastReport = null;
            agent.onNotice(notice("i-9", SECOND_BORN_MILLIS, 1));
            agent.onNotice(notice("i-1", SECOND_BORN_MILLIS, 1));
            agent.start();
            Polling.await(() -> reports(UpstreamState.STARTING), WAIT_SECONDS);
            assertThat(lastReport.notice().boot()).isEqualTo("i-1@" + FIRST_BORN_MILLIS);

            agent.onNotice(notice("i-1", FIRST_BORN_MILLIS, 7));
            Polling.await(() -> reports(UpstreamState.READY), WAIT_SECONDS);
            assertThat(lastReport.notice().boot()).isEqualTo("i-1@" + FIRST_BORN_MILLIS);
        }

        private void expectNothingChanges() throws InterruptedException {
            long sequence = lastReport.sequence();
            Polling.await(() -> lastReport.sequence() > sequence + 5, WAIT_SECONDS);
            assertThat(lastReport.notice().boot()).isEqualTo("i-1@" + FIRST_BORN_MILLIS);
            assertThat(lastReport.notice().state()).isEqualTo(UpstreamState.READY);
            assertThat(lastReport.running()).hasSize(1);
            assertThat(lastReport.lookAgeMillis()).isLessThan(5_000);
        }
    }

    @Nested
    class ClockSetBack {
        // Guards against issue 53: an upstream that started again after its clock was set back was
        // never believed in, and got no task until the clock had caught up.
        @Test
        void theNextIncarnationIsPolledAndReported() throws InterruptedException {
            Polling.await(() -> reports(UpstreamState.READY), WAIT_SECONDS);
            long earlier = FIRST_BORN_MILLIS - 60_000;
            upstream.restart(earlier);
            agent.onNotice(notice("i-1", earlier, 1));

            Polling.await(
                    () ->
                            lastReport.looked()
                                    && lastReport.notice().boot().equals("i-1@" + earlier),
                    WAIT_SECONDS);
        }

        @Test
        void anAgentThatStartsAgainReachesTheIncarnation() throws InterruptedException {
            long earlier = FIRST_BORN_MILLIS - 60_000;
            upstream.restart(earlier);
            Polling.await(
                    () ->
                            lastReport != null
                                    && lastReport.looked()
                                    && lastReport.notice().bornMillis() == earlier,
                    WAIT_SECONDS);
            agent.close();
            agent = new AgentRunner("a", List.of(address()), upstream, loop, new Metrics());
            lastReport = null;
            agent.onNotice(notice("i-1", earlier, 1));
            agent.start();

            Polling.await(() -> reports(UpstreamState.READY), WAIT_SECONDS);
            assertThat(lastReport.notice().bornMillis()).isEqualTo(earlier);
        }
    }
}
