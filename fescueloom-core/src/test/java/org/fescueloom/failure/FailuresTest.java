package org.fescueloom.failure;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

class FailuresTest {
    private final SchedulerException upstreamFull =
            new SchedulerException(FailureType.UPSTREAM_FULL, "no slot");

    @Test
    void unwrapsCompletionExceptions() {
        Throwable wrapped = new CompletionException(new CompletionException(upstreamFull));
        assertThat(Failures.of(wrapped)).isSameAs(upstreamFull);
        assertThat(Failures.of(upstreamFull)).isSameAs(upstreamFull);
        assertThat(Failures.typeOf(wrapped)).isEqualTo(FailureType.UPSTREAM_FULL);
    }

    @Test
    void mapsOtherErrorsToTheFallbackType() {
        IOException connectionLost = new IOException("reset");
        SchedulerException failure =
                Failures.of(new CompletionException(connectionLost), FailureType.OUTCOME_UNKNOWN);
        assertThat(failure.type()).isEqualTo(FailureType.OUTCOME_UNKNOWN);
        assertThat(failure).hasCause(connectionLost).hasMessageContaining("reset");
        assertThat(Failures.typeOf(connectionLost)).isEqualTo(FailureType.INTERNAL);
    }

    @Test
    void keepsACompletionExceptionWithoutACause() {
        CompletionException withoutCause = new CompletionException("bare", null);
        assertThat(Failures.causeOf(withoutCause)).isSameAs(withoutCause);
    }
}
