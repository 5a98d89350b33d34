package org.fescueloom.work;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OccurrenceRecordsTest {
    private static final Resources NEED = new Resources(1, 1, 0);

    private static StepSpec step(int count, List<Integer> after) {
        return new StepSpec(
                count, NEED, 1_000, after, false, false, "", "", 0, false, false, false, "", 0,
                false, 0);
    }

    private static TaskRecord recordIn(TaskPhase phase, int failures) {
        Placement placement = phase == TaskPhase.ASSIGNED ? new Placement("a", "b") : null;
        return new TaskRecord(phase, 1, placement, failures, "");
    }

    @Nested
    class AStep {
        @Test
        void isReadyOnceAllItsDependenciesAreDone() {
            List<StepSpec> steps =
                    List.of(step(1, List.of()), step(2, List.of()), step(1, List.of(0, 1, 1)));
            OccurrenceRecords records = new OccurrenceRecords(steps, new StepGraph(steps));
            records.set(0, 0, recordIn(TaskPhase.DONE, 0));
            records.set(1, 0, recordIn(TaskPhase.DONE, 0));
            assertThat(records.isStepReady(2)).isFalse();
            records.set(1, 1, recordIn(TaskPhase.DONE, 0));

            assertThat(records.isStepReady(2)).isTrue();
            assertThat(records.isDone()).isFalse();
        }
    }

    // The counts are those that a look at each task gives, whatever the order of changes.
    @Property(seed = "60", tries = 200)
    void countsAgreeWithTheRecords(@ForAll @LongRange(max = 1L << 40) long seed) {
        Random random = new Random(seed);
        List<StepSpec> steps = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(6); i++) {
            List<Integer> after = new ArrayList<>();
            for (int before = 0; before < i; before++) {
                if (random.nextBoolean()) {
                    after.add(before);
                }
            }
            steps.add(step(1 + random.nextInt(3), after));
        }
        OccurrenceRecords records = new OccurrenceRecords(steps, new StepGraph(steps));
        for (int change = 0; change < 40; change++) {
            int step = random.nextInt(steps.size());
            TaskPhase phase = TaskPhase.values()[random.nextInt(TaskPhase.values().length)];
            records.set(
                    step, random.nextInt(records.size(step)), recordIn(phase, random.nextInt(2)));
            assertCounts(steps, records);
        }
    }

    private static void assertCounts(List<StepSpec> steps, OccurrenceRecords records) {
        boolean allDone = true;
        boolean failures = false;
        for (int step = 0; step < steps.size(); step++) {
            List<TaskRecord> tasks = records.tasks(step);
            boolean done = tasks.stream().allMatch(t -> t.phase() == TaskPhase.DONE);
            allDone &= done;
            failures |= tasks.stream().anyMatch(t -> t.failures() > 0);
            assertThat(records.isStepDone(step)).isEqualTo(done);
            assertThat(records.waitingTasks(step))
                    .isEqualTo(tasks.stream().filter(t -> t.phase() == TaskPhase.WAITING).count());
            boolean ready =
                    steps.get(step).after().stream()
                            .flatMap(before -> records.tasks(before).stream())
                            .allMatch(t -> t.phase() == TaskPhase.DONE);
            assertThat(records.isStepReady(step)).isEqualTo(ready);
        }
        assertThat(records.isDone()).isEqualTo(allDone);
        assertThat(records.hasFailures()).isEqualTo(failures);
    }
}
