package org.fescueloom.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescueloom.work.Resources;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.WorkSamples;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UnitPlacerTest {
    private static final Resources SLOT = new Resources(1_000, 100, 1);
    private static final StepSpec TASK = WorkSamples.step(1, SLOT);

    private static UpstreamCapacity upstream(String agent, Resources free) {
        return new UpstreamCapacity(agent, "s", "r1", Set.of(), free, free, 1.0, 1.0, false, false);
    }

    /** Upstream x fails all that it starts, and is always free because of that. */
    @Nested
    class FailingUpstream {
        private final UnitPlacer placer =
                new UnitPlacer(
                        new CapacityLedger(
                                List.of(
                                        upstream("x", SLOT),
                                        upstream("y", Resources.NONE),
                                        upstream("z", Resources.NONE))));

        /** Places a task that has waited for long and has failed on the upstreams of agents. */
        private Map<Integer, String> place(StepSpec spec, String... failedAgents) {
            WaitingUnit unit =
                    new WaitingUnit(
                            "j",
                            0,
                            0,
                            List.of(0),
                            spec,
                            "s",
                            "c",
                            0,
                            Prospect.LATE,
                            1_000,
                            60_000,
                            60_000,
                            false,
                            1.5,
                            Set.of(failedAgents),
                            Map.of());
            return placer.findUpstreams(unit, CapacityLedger.CapacityKind.FREE);
        }

        @Test
        void getsNoFurtherRunOfTheStepHoweverLateItIs() {
            assertThat(place(TASK, "x")).isEmpty();
            assertThat(place(TASK)).containsValue("x");
        }

        @Test
        void isTakenIfTheStepHasFailedOnMoreThanHalfOfTheUpstreams() {
            assertThat(place(TASK, "x", "y")).containsValue("x");
            assertThat(place(TASK, "x", "y", "z")).containsValue("x");
        }

        @Test
        void isTakenByAnEndlessStep() {
            StepSpec endless =
                    new StepSpec(
                            1, SLOT, 0, List.of(), false, false, "", "", 0, false, false, true, "",
                            0, false, 0);

            assertThat(place(endless, "x")).containsValue("x");
        }
    }
}
