package org.fescueloom.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fescueloom.wire.ConfigStatus;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationTrackerTest {
    private static ConfigStatus status(long version, long age, boolean logReachable) {
        ConfigurationDocument document = ConfigurationFoldTest.document("v" + version);
        return new ConfigStatus(version, age, logReachable, document);
    }

    @Property(tries = 200, seed = "11")
    void neverReturnsToAnOlderVersion(@ForAll long seed) {
        Random random = new Random(seed);
        ConfigurationTracker tracker = new ConfigurationTracker(true);
        long highest = -1;
        for (int now = 0; now < 100; now++) {
            long version = random.nextInt(20);
            if (random.nextBoolean()) {
                ConfigurationDocument d = ConfigurationFoldTest.document("v" + version);
                tracker.recordLogRead(version, d, version + 1, now);
            } else {
                tracker.recordPeerStatus("p", status(version, random.nextInt(50), true), now);
            }
            highest = Math.max(highest, version);
            ConfigurationView view = tracker.view(List.of());
            assertThat(view.version()).isEqualTo(highest);
            assertThat(view.document().classes().get(0).name()).isEqualTo("v" + highest);
            assertThat(view.confirmedAtMillis()).isLessThanOrEqualTo(now);
        }
    }

    @Nested
    class Confirmations {
        private final ConfigurationTracker tracker = new ConfigurationTracker(false);

        @Test
        void areDatedByTheSendTimeMinusTheAgeAtThePeer() {
            tracker.recordPeerStatus("p", status(5, 700, true), 10_000);
            assertThat(tracker.view(List.of()).ageMillis(10_400)).isEqualTo(1_100);
        }

        @Test
        void ofAnOlderVersionAreIgnored() {
            tracker.recordPeerStatus("p", status(5, 0, true), 1_000);
            tracker.recordPeerStatus("q", status(4, 0, true), 9_000);
            assertThat(tracker.view(List.of()).confirmedAtMillis()).isEqualTo(1_000);
        }

        @Test
        void ofANewerVersionWithoutItsDocumentAreIgnored() {
            tracker.recordPeerStatus("p", status(5, 0, true), 1_000);
            tracker.recordPeerStatus("p", new ConfigStatus(6, 0, true, null), 2_000);
            assertThat(tracker.view(List.of()).version()).isEqualTo(5);
            assertThat(tracker.view(List.of()).confirmedAtMillis()).isEqualTo(1_000);
        }
    }

    @Nested
    class Writes {
        @Test
        void withUnknownResultHideALogFailureUntilTheLogIsReadAgain() {
            ConfigurationTracker entry = new ConfigurationTracker(true);
            entry.recordLogUnreachable(1_000);
            assertThat(entry.statusForPeer(-1, 2_000).logReachable()).isFalse();
            entry.beginWrite();
            assertThat(entry.statusForPeer(-1, 2_100).logReachable()).isTrue();
            assertThat(entry.view(List.of()).outageAtMillis()).isEqualTo(ConfigurationView.NEVER);
            entry.endWrite(true, 2_500);
            entry.recordLogUnreachable(2_600);
            assertThat(entry.statusForPeer(-1, 2_700).logReachable()).isTrue();
            entry.recordLogRead(3, ConfigurationDocument.EMPTY, 4, 3_000);
            entry.recordLogUnreachable(4_000);
            assertThat(entry.statusForPeer(-1, 4_100).logReachable()).isFalse();
        }

        @Test
        void withoutEffectDoNotHideALogFailure() {
            ConfigurationTracker entry = new ConfigurationTracker(true);
            entry.recordLogUnreachable(1_000);
            entry.beginWrite();
            entry.endWrite(false, 1_500);
            assertThat(entry.view(List.of()).outageAtMillis()).isEqualTo(1_000);
        }
    }
}
