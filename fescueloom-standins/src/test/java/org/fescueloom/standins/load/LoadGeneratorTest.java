package org.fescueloom.standins.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fescueloom.standins.Fault;
import org.fescueloom.standins.FaultKind;
import org.fescueloom.standins.Faults;
import org.fescueloom.standins.ListenAddress;
import org.fescueloom.standins.upstream.UpstreamProfile;
import org.fescueloom.standins.upstream.UpstreamStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LoadGeneratorTest {
    private static final int REQUEST_COUNT = 60;
    private static final int MAX_BODY_BYTES = 5_000;
    private final UpstreamStandIn first = upstream("u1");
    private final UpstreamStandIn second = upstream("u2");

    private static UpstreamStandIn upstream(String id) {
        return new UpstreamStandIn(ListenAddress.ANY, UpstreamProfile.of(id, 10.0, null));
    }

    @BeforeEach
    void start() {
        first.start();
        second.start();
    }

    @AfterEach
    void close() {
        first.close();
        second.close();
    }

    private LoadResult run(Routing routing) throws InterruptedException {
        LoadPlan plan =
                new LoadPlan(
                        List.of(first.address(), second.address()),
                        routing,
                        "c",
                        List.of("x"),
                        REQUEST_COUNT,
                        0.0,
                        MAX_BODY_BYTES,
                        60_000L,
                        1L);
        return new LoadGenerator(plan, UpstreamProfile.DEFAULT_SLOTS).run();
    }

    @Nested
    class Outcomes {
        @Test
        void countMatchingResponsesAndNeverExceedTheSlots() throws InterruptedException {
            LoadResult result = run(Routing.ROUND_ROBIN);
            assertThat(result.outcomes())
                    .containsOnlyKeys("200")
                    .containsEntry("200", REQUEST_COUNT);
            assertThat(result.inTime()).isEqualTo(REQUEST_COUNT);
            assertThat(first.records().runs()).hasSize(REQUEST_COUNT / 2);
            assertThat(first.records().violations()).isEmpty();
        }

        @Test
        void countResponsesWithTheBodyOfAnotherRequestAsWrong() throws InterruptedException {
            first.faults(Faults.of(Fault.always(FaultKind.FOREIGN_ANSWER)));
            LoadResult result = run(Routing.ROUND_ROBIN);
            assertThat(result.wrongAnswers()).isPositive();
            assertThat(result.answered()).isEqualTo(REQUEST_COUNT - result.wrongAnswers());
        }

        @Test
        void countFailuresByStatusAndType() throws InterruptedException {
            first.faults(Faults.of(Fault.always(FaultKind.FAIL_FAST)));
            second.faults(Faults.of(Fault.always(FaultKind.CUT_SHORT)));
            LoadResult result = run(Routing.RANDOM);
            assertThat(result.answered()).isZero();
            assertThat(result.outcomes()).containsKey("500 upstream-failed").hasSize(2);
        }
    }

    @Nested
    class TargetChoice {
        @Test
        void byFewestInFlightSendsNoMoreToASlowTarget() throws InterruptedException {
            first.faults(Faults.of(Fault.slow(20.0)));
            run(Routing.FEWEST_IN_FLIGHT);
            assertThat(first.records().runs().size())
                    .isLessThanOrEqualTo(second.records().runs().size());
        }
    }
}
