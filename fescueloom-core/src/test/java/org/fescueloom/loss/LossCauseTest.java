package org.fescueloom.loss;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.stream.Stream;
import org.fescueloom.work.RunEnd;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class LossCauseTest {
    static Stream<Arguments> causesByEnd() {
        return Stream.of(
                Arguments.of(RunEnd.FAILED, LossCause.FAILED),
                Arguments.of(RunEnd.LAPSED, LossCause.LEASE_EXPIRED),
                Arguments.of(RunEnd.BROKEN, LossCause.GANG_BROKEN),
                Arguments.of(RunEnd.ALONE, LossCause.GANG_INCOMPLETE),
                Arguments.of(RunEnd.GONE, LossCause.UPSTREAM_GONE),
                Arguments.of(RunEnd.STOPPED, LossCause.CANCELLED));
    }

    // Guards against an end that is counted under the cause of another one.
    @ParameterizedTest
    @MethodSource("causesByEnd")
    void followsFromTheEnd(RunEnd end, LossCause cause) {
        assertThat(LossCause.ofEnd(end)).isEqualTo(cause);
    }

    // Guards against successful runs that are counted as lost.
    @Test
    void refusesASuccessfulEnd() {
        assertThatThrownBy(() -> LossCause.ofEnd(RunEnd.DONE))
                .isInstanceOf(IllegalArgumentException.class);
    }

    // Guards against metric names that differ from the documented ones.
    @Test
    void hasANameInLowerCaseWithHyphens() {
        assertThat(LossCause.NO_PROGRESS.text()).isEqualTo("no-progress");
    }
}
