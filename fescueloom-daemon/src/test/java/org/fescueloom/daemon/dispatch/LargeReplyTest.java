package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.json.Json;
import org.fescueloom.work.Resources;
import org.fescueloom.work.Submission;
import org.fescueloom.work.WorkSpec;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests orders of jobs that are too large for one response, and for one call each at a time. */
class LargeReplyTest {
    private static final int TASKS = 2_400;

    /** The longest body that the servers of the system accept. */
    private static final int MAX_BODY_BYTES = 1 << 20;

    private static final Resources TINY = new Resources(10, 1, 0);

    private static Submission largeJob(String id) {
        String payload = "\"".repeat(WorkSpec.MAX_PAYLOAD_BYTES);
        WorkSpec work =
                new WorkSpec(
                        payload,
                        List.of(JobSamples.step(TASKS, TINY, 1_000, false, false)),
                        0,
                        0,
                        1);
        return new Submission(id, "queue", "customer", "service", 0, work);
    }

    @Nested
    class AResponse {
        private final DispatcherBed bed = new DispatcherBed();
        private final FakeAgent agent = new FakeAgent("a", bed.loop());

        // Guards against the review's case 7: a response held the payload once a task, could not be
        // written, and was built the same way again.
        @Test
        void isShortAndOthersFollow() {
            Dispatcher dispatcher = bed.claim();
            agent.exchange(dispatcher);
            bed.submit(dispatcher, largeJob("00000000000000a0"));
            Set<String> started = new HashSet<>();
            int longest = 0;
            for (int i = 0; i < 100 && started.size() < TASKS; i++) {
                AgentOrders orders = agent.exchange(dispatcher);
                longest = Math.max(longest, Json.write(orders).length);
                orders.starts().forEach(start -> started.add(start.task()));
            }

            assertThat(longest).isLessThan(MAX_BODY_BYTES);
            assertThat(started).hasSize(TASKS);
        }

        // Guards against a large job that holds up the small ones after it.
        @Test
        void startsASmallJobBesideALargeOne() {
            Dispatcher dispatcher = bed.claim();
            agent.exchange(dispatcher);
            bed.submit(dispatcher, largeJob("00000000000000a0"));
            bed.submit(dispatcher, JobSamples.singleTask("00000000000000b0"));
            List<String> started = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                agent.exchange(dispatcher).starts().forEach(start -> started.add(start.task()));
            }

            assertThat(started).contains("00000000000000b0.0.0.0");
        }

        @Test
        void carriesThePayloadOfEachJob() {
            StartOrder first = new StartOrder("a.0.0.0", 1, "i-1@1", "first", "");
            StartOrder second = new StartOrder("b.0.0.0", 2, "i-1@1", "second", "c");
            StartOrder third = new StartOrder("a.0.0.1", 1, "i-1@1", "first", "");
            AgentOrders orders =
                    new AgentOrders(
                            1,
                            2,
                            "i-1@1",
                            3,
                            List.of(first, second, third),
                            List.of(),
                            false,
                            List.of("h:1"));

            assertThat(Json.read(Json.write(orders), AgentOrders.class)).isEqualTo(orders);
        }
    }

    @Nested
    class AReport {
        private final DispatcherBed bed = new DispatcherBed();
        private final FakeAgent agent = new FakeAgent("a", bed.loop());

        // Guards against an agent that loses its lease, with all that it runs, because its report
        // is refused as too long.
        @Test
        void isAcceptedHoweverManyTasksWait() {
            Dispatcher dispatcher = bed.claim();
            agent.exchange(dispatcher);
            Resources none = new Resources(0, 0, 0);
            for (int i = 0; i < 4; i++) {
                WorkSpec work =
                        new WorkSpec(
                                "p",
                                List.of(JobSamples.step(4_096, none, 1_000, false, false)),
                                0,
                                0,
                                1);
                bed.submit(
                        dispatcher,
                        new Submission(
                                "00000000000000a" + i, "queue", "customer", "service", 0, work));
            }
            for (int i = 0; i < 100; i++) {
                agent.exchange(dispatcher);
            }

            assertThat(agent.running).hasSize(AgentView.MAX_RUNS);
            assertThat(Json.write(agent.running).length).isLessThan(MAX_BODY_BYTES);
        }
    }

    @Nested
    class AnAgent {
        private static final String BOOT = "i-1@1";

        private final ManualScheduler loop = new ManualScheduler();
        private final Map<String, CompletableFuture<OrderResult>> calls = new HashMap<>();
        private final List<Long> tokens = new ArrayList<>();
        private int changes;
        private final UpstreamLink link =
                new UpstreamLink(
                        new WaitingUpstream(),
                        loop,
                        loop::nowMillis,
                        new Metrics(),
                        () -> changes++);

        /** Answers polls at once, and orders only when the test completes them. */
        private final class WaitingUpstream implements UpstreamControl {
            @Override
            public CompletableFuture<OrderResult> start(
                    String instance, StartOrder order, long token, long leaseUntilMillis) {
                tokens.add(token);
                return calls.computeIfAbsent(order.task(), task -> new CompletableFuture<>());
            }

            @Override
            public CompletableFuture<OrderResult> stop(
                    String instance, StopOrder order, long token) {
                return calls.computeIfAbsent(
                        "stop " + order.task(), task -> new CompletableFuture<>());
            }

            @Override
            public CompletableFuture<UpstreamSnapshot> poll(
                    String instance, long token, long acknowledged, long lease, Duration wait) {
                return wait.isZero()
                        ? CompletableFuture.completedFuture(
                                new UpstreamSnapshot(1_000, 1, List.of(), List.of(), true))
                        : new CompletableFuture<>();
            }
        }

        private void apply(long epoch, boolean complete, int starts, List<StopOrder> stops) {
            List<StartOrder> orders = new ArrayList<>();
            for (int i = 0; i < starts; i++) {
                orders.add(new StartOrder("a.0.0." + i, 1, BOOT, "payload", ""));
            }
            link.applyOrders(
                    new AgentOrders(epoch, 7_000, BOOT, 0, orders, stops, complete, List.of()),
                    link.notice(),
                    1_000);
            loop.advance(10);
        }

        private void connect() {
            apply(1, true, 0, List.of());
            link.onReport(
                    new UpstreamNotice(
                            "i-1",
                            1,
                            "service",
                            "zone",
                            UpstreamState.READY,
                            TINY,
                            List.of(),
                            "",
                            0,
                            1));
            loop.advance(10);
            apply(1, true, 0, List.of());
        }

        // Guards against the review's case 7: each start in progress holds a payload, and an agent
        // that sent them all at once ended for lack of memory.
        @Test
        void sendsFewStartsAtATime() {
            connect();
            apply(1, true, TASKS, List.of());
            assertThat(calls).hasSize(OrderQueue.MAX_CALLS);
            for (int i = 0; i < TASKS; i++) {
                Set.copyOf(calls.values()).forEach(call -> call.complete(OrderResult.DONE));
                loop.advance(1);
            }

            assertThat(calls).hasSize(TASKS);
        }

        @Test
        void sendsAStopBeforeTheStartsThatWait() {
            connect();
            apply(1, true, 100, List.of());
            apply(1, false, 0, List.of(new StopOrder("a.0.0.99", 1, BOOT)));
            calls.values().stream().findAny().orElseThrow().complete(OrderResult.DONE);
            loop.advance(1);

            assertThat(calls).containsKey("stop a.0.0.99");
        }

        @Test
        void reportsStartedRunsAlsoIfTheLastStartsFail() {
            connect();
            apply(1, true, OrderQueue.MAX_CALLS + 1, List.of());
            int changesBefore = changes;
            calls.get("a.0.0.0").complete(OrderResult.DONE);
            loop.advance(1);
            calls.values().forEach(call -> call.complete(OrderResult.BUSY));
            loop.advance(1);

            assertThat(changes).isGreaterThan(changesBefore);
            assertThat(link.report("a", "p", 1, 0).running()).hasSize(1);
        }

        // A run whose order was withdrawn may have begun elsewhere.
        @Test
        void sendsNoStartThatWaitsOnceItIsWithdrawn() {
            connect();
            apply(1, true, 100, List.of());
            apply(1, true, 50, List.of());
            for (int i = 0; i < 100; i++) {
                Set.copyOf(calls.values()).forEach(call -> call.complete(OrderResult.DONE));
                loop.advance(1);
            }

            assertThat(calls).hasSize(50);
        }

        // The orders of an earlier dispatcher must not be sent with the token of a later one.
        @Test
        void sendsNoStartThatWaitsOnceAnotherDispatcherOrders() {
            connect();
            apply(1, true, 100, List.of());
            apply(2, false, 0, List.of());
            for (int i = 0; i < 100; i++) {
                Set.copyOf(calls.values()).forEach(call -> call.complete(OrderResult.DONE));
                loop.advance(1);
            }

            assertThat(calls).hasSize(OrderQueue.MAX_CALLS);
            assertThat(tokens).allMatch(token -> token < FencingToken.of(2, 0));
        }

        // Guards against a part of the orders that is taken for all of them.
        @Test
        void keepsStartsThatWaitWhenOtherOrdersFollow() {
            connect();
            apply(1, true, 100, List.of());
            apply(1, false, 50, List.of());
            for (int i = 0; i < 100; i++) {
                Set.copyOf(calls.values()).forEach(call -> call.complete(OrderResult.DONE));
                loop.advance(1);
            }

            assertThat(calls).hasSize(100);
        }
    }
}
