package org.fescueloom.work;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.fescueloom.json.Json;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class TaskRecordTest {
    private static final Placement PLACEMENT = new Placement("agent-1", "i-1@5");
    private static final TaskRecord RUNNING = TaskRecord.NEW.withRun(1, PLACEMENT);

    @Nested
    class EndedRuns {
        @Test
        void doneIsFinal() {
            TaskRecord done = RUNNING.withEnd(RunEnd.DONE, "");

            assertThat(done.phase()).isEqualTo(TaskPhase.DONE);
            assertThat(done.withEnd(RunEnd.FAILED, "")).isEqualTo(done);
            assertThatThrownBy(() -> done.withRun(2, PLACEMENT))
                    .isInstanceOf(IllegalStateException.class);
        }

        @ParameterizedTest
        @EnumSource(
                value = RunEnd.class,
                names = {"STOPPED", "LAPSED", "BROKEN", "ALONE", "GONE"})
        void anInterruptedRunDoesNotCountAsAFailure(RunEnd end) {
            TaskRecord waiting = RUNNING.withEnd(end, "c1");

            assertThat(waiting.phase()).isEqualTo(TaskPhase.WAITING);
            assertThat(waiting.failures()).isZero();
            assertThat(waiting.checkpoint()).isEqualTo("c1");
            assertThat(waiting.placement()).isNull();
        }

        @Test
        void aFailedRunCountsAsOneFailure() {
            TaskRecord failed = RUNNING.withEnd(RunEnd.FAILED, "");

            assertThat(failed.failures()).isEqualTo(1);
            assertThat(failed.withEnd(RunEnd.FAILED, "")).isEqualTo(failed);
        }
    }

    @Nested
    class NewRuns {
        @Test
        void runNumbersIncrease() {
            TaskRecord again = RUNNING.withEnd(RunEnd.STOPPED, "");

            assertThatThrownBy(() -> again.withRun(1, PLACEMENT))
                    .isInstanceOf(IllegalStateException.class);
            assertThat(again.withRun(2, PLACEMENT).run()).isEqualTo(2);
        }

        @Test
        void aTaskHasAtMostOneRunAtATime() {
            assertThatThrownBy(() -> RUNNING.withRun(2, PLACEMENT))
                    .isInstanceOf(IllegalStateException.class);
        }
    }

    @Nested
    class JsonForm {
        @Test
        void survivesARoundTrip() {
            TaskRecord stored = RUNNING.withCheckpoint("c2");

            assertThat(Json.read(Json.write(stored), TaskRecord.class)).isEqualTo(stored);
            assertThat(Json.read(Json.write(TaskRecord.NEW), TaskRecord.class))
                    .isEqualTo(TaskRecord.NEW);
        }
    }
}
