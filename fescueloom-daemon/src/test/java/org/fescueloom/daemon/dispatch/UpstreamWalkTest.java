package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.fescueloom.daemon.dispatch.UpstreamWalk.Event;
import org.fescueloom.daemon.dispatch.UpstreamWalk.Step;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that no task runs twice, and none waits for good, whatever is said about upstreams. */
class UpstreamWalkTest {
    /** The number of walks. -Dwalks.count and -Dwalks.seed play more of them, from another seed. */
    private static final int WALKS = Integer.getInteger("walks.count", 1_000);

    private static final long FIRST_SEED = Long.getLong("walks.seed", 53);

    /** Stops after so many violations; -Dwalks.violations asks for more. */
    private static final int MAX_VIOLATIONS = Integer.getInteger("walks.violations", 1);

    // Guards against issue 53: an upstream at work was taken for gone.
    @Test
    void noTaskRunsTwiceAndAllEnd() {
        List<String> violations = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + WALKS; seed++) {
            List<Step> steps = UpstreamWalk.draw(seed);
            WalkJudge judge = UpstreamWalk.play(steps);
            if (!judge.violations().isEmpty()) {
                violations.add(describe(seed, steps, judge));
                if (violations.size() >= MAX_VIOLATIONS) {
                    break;
                }
            }
        }
        assertThat(violations).isEmpty();
    }

    /** Traces of violations that longer runs of the walk have found, without other steps. */
    @Nested
    class FoundTraces {
        // Seed 1430: a poll that was meant for the incarnation before acknowledged the end of a run
        // that nobody had listed, and the task ran again.
        @Test
        void anAcknowledgementReachesTheNextIncarnation() {
            expectNoViolation(
                    step(Event.PASS, 0, 2_512),
                    step(Event.START_WITH_CLOCK_SET_BACK, 1, 1_343),
                    step(Event.SILENCE, 1, 1_395),
                    step(Event.PASS, 2, 3_381));
        }

        // Seed 7132: the next incarnation got a lease on the clock of the one before, which
        // outlived the one that the dispatcher had granted.
        @Test
        void aLeaseReachesTheNextIncarnation() {
            expectNoViolation(
                    step(Event.PASS, 0, 5_558),
                    step(Event.PASS, 1, 5_899),
                    step(Event.PASS, 1, 5_497),
                    step(Event.PASS, 0, 6_630),
                    step(Event.PASS, 1, 3_852),
                    step(Event.PASS, 1, 5_195),
                    step(Event.PASS, 0, 8_338),
                    step(Event.SUBMIT, 0, 1_064),
                    step(Event.PAUSE_REPORTS, 0, 9_477),
                    step(Event.START_WITH_CLOCK_SET_BACK, 0, 2_728),
                    step(Event.PASS, 1, 5_200),
                    step(Event.PASS, 0, 7_568),
                    step(Event.PASS, 1, 1_616),
                    step(Event.PASS, 1, 5_441));
        }

        // Seed 3399: a report of an earlier process of the agent was the last to reach a new
        // dispatcher, which ignored the present process from then on.
        @Test
        void aLateReportOfAnEarlierProcessReachesANewDispatcher() {
            expectNoViolation(
                    step(Event.REPORT_FAULT, 1, 7_627),
                    step(Event.TAKEOVER, 1, 332),
                    step(Event.CALL_FAULT, 1, 8_691),
                    step(Event.REPORT_FAULT, 1, 3_342),
                    step(Event.PASS, 0, 4_109),
                    step(Event.AGENT_RESTART, 1, 6_795),
                    step(Event.PASS, 2, 2_061));
        }

        // Seed 4559: an agent that starts again while the clock is set back uses lower tokens than
        // the second copy of an order that was meant for the incarnation before.
        @Test
        void aSecondCopyIsNotBarredByTheTokensOfANewAgent() {
            expectNoViolation(
                    step(Event.CALL_FAULT, 1, 4_479),
                    step(Event.START_AGAIN, 0, 1_380),
                    step(Event.PASS, 1, 4_746),
                    step(Event.AGENT_RESTART, 1, 2_812),
                    step(Event.START_WITH_CLOCK_SET_BACK, 1, 3_267));
        }

        private Step step(Event event, int machine, int amount) {
            return new Step(event, machine, amount);
        }

        private void expectNoViolation(Step... steps) {
            WalkJudge judge = UpstreamWalk.play(List.of(steps));
            assertThat(judge.violations()).as(String.join("\n", judge.trace())).isEmpty();
        }
    }

    /** Describes a violation with the trace of a walk without the steps that it does not need. */
    private static String describe(long seed, List<Step> steps, WalkJudge judge) {
        String kind = kindOf(judge);
        List<Step> shrunk = new ArrayList<>(steps);
        for (int size = shrunk.size() / 2; size >= 1; size /= 2) {
            for (int from = 0; from < shrunk.size(); ) {
                List<Step> shorter = new ArrayList<>(shrunk);
                shorter.subList(from, Math.min(shorter.size(), from + size)).clear();
                if (kindOf(UpstreamWalk.play(shorter)).equals(kind)) {
                    shrunk = shorter;
                } else {
                    from += size;
                }
            }
        }
        WalkJudge shortest = UpstreamWalk.play(shrunk);
        return "seed "
                + seed
                + ", "
                + shortest.violations()
                + ", "
                + shrunk.size()
                + " of "
                + steps.size()
                + " steps:\n"
                + String.join("\n", shortest.trace())
                + "\n";
    }

    /** Returns the first violation without names; empty if there is none. */
    private static String kindOf(WalkJudge judge) {
        return judge.violations().isEmpty() ? "" : judge.violations().get(0).replaceAll(":.*", "");
    }
}
