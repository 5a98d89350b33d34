package org.fescueloom.member;

import static org.assertj.core.api.Assertions.assertThat;

import org.fescueloom.wire.Announcement;
import org.fescueloom.wire.MemberKind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests members that start again after the clock of their machine was set back. */
class MemberClockSetBackTest {
    private static final long INTERVAL_MILLIS = 1_000;
    private static final long BEFORE = 1_780_000_060_000L;
    private static final long AFTER = BEFORE - 60_000;

    private final MemberTable table = new MemberTable();

    private boolean announce(long incarnation, String address, long nowMillis) {
        return table.recordAnnouncement(
                new Announcement(
                        MemberKind.AGENT, "a", incarnation, address, "z", false, -1, null, null),
                nowMillis);
    }

    @Nested
    class AMemberThatStartsAgain {
        // Guards against a machine without work for ten minutes: the announcements of a process
        // that had started after a clock step counted as late ones of an earlier process.
        @Test
        void isKnownSoonAfterTheEarlierIncarnationWasSuspected() {
            announce(BEFORE, "10.0.0.1:1", 0);
            for (long now = 1_000; now <= 20_000; now += INTERVAL_MILLIS) {
                announce(AFTER, "10.0.0.1:2", now);
                table.expire(now);
            }

            assertThat(table.find("a", 20_000).map(Member::address)).contains("10.0.0.1:2");
        }
    }

    @Nested
    class LateAnnouncements {
        @Test
        void thatArriveTogetherReplaceNothing() {
            announce(BEFORE, "10.0.0.1:2", 0);
            for (int i = 0; i < 10; i++) {
                assertThat(announce(AFTER, "10.0.0.1:1", 10_000)).isFalse();
            }
        }

        @Test
        void replaceNothingWhileTheLaterIncarnationAnnouncesItself() {
            for (long now = 0; now <= 60_000; now += INTERVAL_MILLIS) {
                announce(BEFORE, "10.0.0.1:2", now);
                assertThat(announce(AFTER, "10.0.0.1:1", now)).isFalse();
            }
        }
    }
}
