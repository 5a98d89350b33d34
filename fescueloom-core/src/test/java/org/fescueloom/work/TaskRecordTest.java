package org.fescueloom.work;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.fescueloom.json.Json;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class TaskRecordTest {
    private static final Placement HERE = new Placement("agent-1", "i-1@5");
    private static final TaskRecord RUNNING = TaskRecord.NEW.withRun(1, HERE);

    @Nested
    class Ends {
        @Test
        void doneIsFinal() {
            TaskRecord done = RUNNING.withEnd(RunEnd.DONE, "");

            assertThat(done.phase()).isEqualTo(TaskPhase.DONE);
            assertThat(done.withEnd(RunEnd.FAILED, "")).isEqualTo(done);
            assertThatThrownBy(() -> done.withRun(2, HERE))
                    .isInstanceOf(IllegalStateException.class);
        }

        @ParameterizedTest
        @EnumSource(
                value = RunEnd.class,
                names = {"STOPPED", "LAPSED", "BROKEN", "ALONE", "GONE"})
        void anInterruptedRunDoesNotCountAsAnAttempt(RunEnd end) {
            TaskRecord waiting = RUNNING.withEnd(end, "c1");

            assertThat(waiting.phase()).isEqualTo(TaskPhase.WAITING);
            assertThat(waiting.failures()).isZero();
            assertThat(waiting.checkpoint()).isEqualTo("c1");
            assertThat(waiting.placement()).isNull();
        }

        @Test
        void aFailedRunCountsOnce() {
            TaskRecord failed = RUNNING.withEnd(RunEnd.FAILED, "");

            assertThat(failed.failures()).isEqualTo(1);
            assertThat(failed.withEnd(RunEnd.FAILED, "")).isEqualTo(failed);
        }
    }

    @Nested
    class Runs {
        @Test
        void runNumbersRise() {
            TaskRecord again = RUNNING.withEnd(RunEnd.STOPPED, "");

            assertThatThrownBy(() -> again.withRun(1, HERE))
                    .isInstanceOf(IllegalStateException.class);
            assertThat(again.withRun(2, HERE).run()).isEqualTo(2);
        }

        @Test
        void aSecondRunNeverStartsBesideTheFirst() {
            assertThatThrownBy(() -> RUNNING.withRun(2, HERE))
                    .isInstanceOf(IllegalStateException.class);
        }
    }

    @Nested
    class Form {
        @Test
        void isReadBackAsItWasWritten() {
            TaskRecord kept = RUNNING.withCheckpoint("c2");

            assertThat(Json.read(Json.write(kept), TaskRecord.class)).isEqualTo(kept);
            assertThat(Json.read(Json.write(TaskRecord.NEW), TaskRecord.class))
                    .isEqualTo(TaskRecord.NEW);
        }
    }
}
