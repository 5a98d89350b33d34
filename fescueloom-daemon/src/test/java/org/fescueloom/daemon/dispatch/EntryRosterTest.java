package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fescueloom.daemon.metrics.Metrics;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EntryRosterTest {
    private static final String A = "10.0.0.1:7000";
    private static final String B = "10.0.0.2:7000";
    private static final String C = "10.0.0.3:7000";

    /** Returns the roster of an entry that knows all three entries but not their machines. */
    private static EntryRoster roster(String address, double cores) {
        EntryRoster roster = new EntryRoster(address, cores, new Metrics());
        roster.add(List.of(A, B, C));
        return roster;
    }

    @Nested
    class Addresses {
        @Test
        void areValidAndSorted() {
            EntryRoster roster = new EntryRoster(B, 1, new Metrics());
            roster.add(List.of(C, "no address", A));
            roster.add("10.0.0.1:99999", 1);

            assertThat(roster.all()).containsExactly(A, B, C);
            assertThat(roster.others()).containsExactly(A, C);
        }
    }

    @Nested
    class ClaimTurns {
        @Test
        void followTheOrderOfAddressesOnEqualMachines() {
            assertThat(roster(C, 1).claimTurn("")).isEqualTo(2);
            assertThat(roster(C, 1).claimTurn(A)).isEqualTo(1);
            assertThat(roster(A, 1).claimTurn(C)).isZero();
        }

        /** Small and large machines serve callers side by side. */
        @Test
        void followTheOrderOfProcessorTimeOnUnequalMachines() {
            EntryRoster small = roster(A, 0.27);
            small.add(B, 0.36);
            small.add(C, 0.9);
            assertThat(small.claimTurn("")).isEqualTo(2);
            assertThat(small.claimTurn(C)).isEqualTo(1);

            EntryRoster large = roster(C, 0.9);
            large.add(A, 0.27);
            large.add(B, 0.36);
            assertThat(large.claimTurn("")).isZero();
        }

        @Test
        void treatUnknownMachinesAsEqual() {
            EntryRoster roster = roster(B, 0.9);
            roster.add(A, 0);

            assertThat(roster.claimTurn("")).isEqualTo(1);
        }

        @Test
        void leaveOutUnavailableEntries() {
            EntryRoster roster = roster(C, 1);
            roster.markUnavailable(A);
            assertThat(roster.claimTurn("")).isEqualTo(1);

            roster.clearUnavailable();
            assertThat(roster.claimTurn("")).isEqualTo(2);
        }
    }
}
