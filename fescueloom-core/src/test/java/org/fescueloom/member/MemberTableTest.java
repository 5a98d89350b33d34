package org.fescueloom.member;

import static org.assertj.core.api.Assertions.assertThat;

import org.fescueloom.wire.Announcement;
import org.fescueloom.wire.MemberKind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MemberTableTest {
    private final MemberTable table = new MemberTable(3_000, 15_000);

    private static Announcement agent(
            String id, long incarnation, String address, boolean leaving) {
        return new Announcement(
                MemberKind.AGENT, id, incarnation, address, "north-yard", leaving, -1, null, null);
    }

    private MemberState state(String id, long now) {
        return table.find(id, now).map(Member::state).orElse(null);
    }

    @Nested
    class Liveness {
        @Test
        void suspectsThenRemovesASilentMember() {
            table.recordAnnouncement(agent("a", 1, "10.0.0.1:1", false), 0);
            assertThat(state("a", 2_999)).isEqualTo(MemberState.ALIVE);
            assertThat(state("a", 3_000)).isEqualTo(MemberState.SUSPECT);
            assertThat(table.find("a", 15_000)).isEmpty();
            assertThat(table.agents(15_000)).isEmpty();
            assertThat(table.expire(15_000)).containsExactly("a");
        }

        @Test
        void clearsASuspicionOnTheNextAnnouncement() {
            table.recordAnnouncement(agent("a", 1, "10.0.0.1:1", false), 0);
            table.recordAnnouncement(agent("a", 1, "10.0.0.1:1", false), 5_000);
            assertThat(state("a", 5_001)).isEqualTo(MemberState.ALIVE);
        }

        @Test
        void givesNoNewWorkToALeavingMember() {
            table.recordAnnouncement(agent("a", 1, "10.0.0.1:1", true), 0);
            assertThat(table.agents(1).get(0).acceptsNewWork()).isFalse();
            assertThat(state("a", 1)).isEqualTo(MemberState.LEAVING);
        }
    }

    @Nested
    class Replacement {
        @Test
        void ignoresAnOlderIncarnationEvenAfterRemoval() {
            table.recordAnnouncement(agent("a", 2, "10.0.0.2:1", false), 0);
            assertThat(table.recordAnnouncement(agent("a", 1, "10.0.0.1:1", false), 1)).isFalse();
            assertThat(table.find("a", 1).orElseThrow().address()).isEqualTo("10.0.0.2:1");
            table.expire(20_000);
            assertThat(table.recordAnnouncement(agent("a", 1, "10.0.0.1:1", false), 20_001))
                    .isFalse();
            assertThat(table.recordAnnouncement(agent("a", 3, "10.0.0.3:1", false), 20_002))
                    .isTrue();
        }

        @Test
        void replacesAMemberWhenAnotherAnnouncesItsAddress() {
            table.recordAnnouncement(agent("a", 1, "10.0.0.1:1", false), 0);
            table.recordAnnouncement(agent("b", 1, "10.0.0.1:1", false), 1);
            assertThat(table.agents(2)).extracting(Member::id).containsExactly("b");
        }
    }
}
