package org.fescueloom.job;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.stream.Stream;
import org.fescueloom.config.Adjacency;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class JobSpecValidatorTest {
    private static JobSpec spec(
            String customer, int tasks, int accelerators, int cpus, long memory, long seconds) {
        return new JobSpec(
                customer,
                "weave",
                tasks,
                accelerators,
                Adjacency.WORKER,
                cpus,
                memory,
                seconds,
                true,
                false,
                "run");
    }

    static Stream<JobSpec> invalidSpecs() {
        return Stream.of(
                spec(" ", 1, 1, 1, 1, 1),
                spec("c", 0, 1, 1, 1, 1),
                spec("c", -1, 1, 1, 1, 1),
                spec("c", Integer.MAX_VALUE, Integer.MAX_VALUE, 1, 1, 1),
                spec("c", 1, -1, 1, 1, 1),
                spec("c", 1, 1, Integer.MIN_VALUE, 1, 1),
                spec("c", 1, 1, 1, Long.MAX_VALUE, 1),
                spec("c", 1, 1, 1, 1, 0),
                spec("c", 1, 1, 1, 1, Long.MAX_VALUE / 1_000),
                spec("c", 1, 0, 0, 0, 1),
                spec("c", 1_000, 2, 1, 1, 1));
    }

    @ParameterizedTest
    @MethodSource("invalidSpecs")
    void rejectsInvalidSpec(JobSpec spec) {
        assertThatThrownBy(() -> JobSpecValidator.validate(spec))
                .isInstanceOfSatisfying(
                        SchedulerException.class,
                        e ->
                                org.assertj.core.api.Assertions.assertThat(e.type())
                                        .isEqualTo(FailureType.INVALID_FIELD));
    }

    @Test
    void acceptsValidSpec() {
        assertThatCode(() -> JobSpecValidator.validate(spec("c", 4, 8, 4, 1_024, 3_600)))
                .doesNotThrowAnyException();
    }
}
