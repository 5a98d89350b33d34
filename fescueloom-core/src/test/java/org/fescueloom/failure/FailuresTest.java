package org.fescueloom.failure;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

class FailuresTest {
    private final SchedulerException full =
            new SchedulerException(FailureType.UPSTREAM_FULL, "no slot");

    @Test
    void findTheFailureBehindWrappers() {
        Throwable wrapped = new CompletionException(new CompletionException(full));
        assertThat(Failures.of(wrapped)).isSameAs(full);
        assertThat(Failures.of(full)).isSameAs(full);
        assertThat(Failures.typeOf(wrapped)).isEqualTo(FailureType.UPSTREAM_FULL);
    }

    @Test
    void giveOtherErrorsAType() {
        IOException lost = new IOException("reset");
        SchedulerException failure =
                Failures.of(new CompletionException(lost), FailureType.OUTCOME_UNKNOWN);
        assertThat(failure.type()).isEqualTo(FailureType.OUTCOME_UNKNOWN);
        assertThat(failure).hasCause(lost).hasMessageContaining("reset");
        assertThat(Failures.typeOf(lost)).isEqualTo(FailureType.INTERNAL);
    }

    @Test
    void keepAWrapperWithoutACause() {
        CompletionException bare = new CompletionException("bare", null);
        assertThat(Failures.causeOf(bare)).isSameAs(bare);
    }
}
