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

    private static UpstreamNotice kind(
            String service, String zone, Resources capacity, List<String> labels) {
        return new UpstreamNotice(
                "i", 5, service, zone, UpstreamState.READY, capacity, labels, "", 0, 1);
    }

    @Nested
    class Kinds {
        @Test
        void areEqualWhateverStateAndSequenceNumber() {
            UpstreamNotice first = notice("i", 5, 1);

            assertThat(first.describesSameKindAs(first.withState(UpstreamState.DRAINING))).isTrue();
            assertThat(first.describesSameKindAs(notice("j", 6, 9))).isTrue();
        }

        @Test
        void differByServiceZoneCapacityAndLabels() {
            UpstreamNotice first = notice("i", 5, 1);

            assertThat(first.describesSameKindAs(kind("t", "z", Resources.NONE, List.of())))
                    .isFalse();
            assertThat(first.describesSameKindAs(kind("s", "y", Resources.NONE, List.of())))
                    .isFalse();
            assertThat(first.describesSameKindAs(kind("s", "z", new Resources(1, 0, 0), List.of())))
                    .isFalse();
            assertThat(first.describesSameKindAs(kind("s", "z", Resources.NONE, List.of("a"))))
                    .isFalse();
        }
    }

    @Nested
    class BootIds {
        @Test
        void differBetweenIncarnationsOnly() {
            UpstreamNotice first = notice("i", 5, 1);

            assertThat(first.restartedAt(6).boot()).isNotEqualTo(first.boot());
            assertThat(first.withState(UpstreamState.GONE).boot()).isEqualTo(first.boot());
            assertThat(first.withState(UpstreamState.GONE).state()).isEqualTo(UpstreamState.GONE);
        }
    }
}
