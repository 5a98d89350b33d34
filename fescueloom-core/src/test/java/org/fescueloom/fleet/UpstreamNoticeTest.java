package org.fescueloom.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fescueloom.work.Resources;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UpstreamNoticeTest {
    private static UpstreamNotice notice(String instance, long born, long sequence) {
        return new UpstreamNotice(
                instance,
                born,
                "s",
                "z",
                UpstreamState.READY,
                Resources.NONE,
                List.of(),
                "",
                0,
                sequence);
    }

    @Nested
    class Order {
        @Test
        void higherSequenceNumberOfOneIncarnationIsNewer() {
            assertThat(notice("i", 5, 2).newerThan(notice("i", 5, 1))).isTrue();
            assertThat(notice("i", 5, 1).newerThan(notice("i", 5, 1))).isFalse();
        }

        @Test
        void delayedReportOfAnEarlierIncarnationIsNotNewer() {
            assertThat(notice("i", 5, 99).newerThan(notice("j", 6, 1))).isFalse();
        }

        @Test
        void laterIncarnationIsNewerWhateverItsSequenceNumber() {
            assertThat(notice("i", 6, 1).newerThan(notice("i", 5, 99))).isTrue();
            assertThat(notice("i", 6, 1).newerThan(null)).isTrue();
        }
    }

    @Nested
    class BootIds {
        @Test
        void differBetweenIncarnationsOnly() {
            UpstreamNotice first = notice("i", 5, 1);

            assertThat(first.restartedAt(6).boot()).isNotEqualTo(first.boot());
            assertThat(first.withStateGone().boot()).isEqualTo(first.boot());
            assertThat(first.withStateGone().state()).isEqualTo(UpstreamState.GONE);
        }
    }
}
