package org.fescueloom.daemon.jobs;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fescueloom.job.EpochClaim;
import org.fescueloom.job.EpochFold;
import org.fescueloom.json.Json;
import org.fescueloom.log.LogRecord;
import org.junit.jupiter.api.Test;

class PlannerElectionTest {
    private final EpochFold epochs = new EpochFold();
    private List<String> liveEntries = List.of("a", "b");

    private PlannerElection electionOf(String entry) {
        return new PlannerElection(entry, 5, epochs, () -> liveEntries);
    }

    private void applyClaim(long offset, String entry, long incarnation) {
        EpochClaim claim = new EpochClaim(EpochClaim.VERSION, entry, incarnation, 0);
        epochs.apply(new LogRecord(offset, 0, "c" + offset, Json.tree(claim)));
    }

    @Test
    void firstLiveEntryClaimsAtOnceAndTheNextAfterADelay() {
        PlannerElection first = electionOf("a");
        PlannerElection second = electionOf("b");
        assertThat(first.shouldClaim(1_000)).isTrue();
        assertThat(second.shouldClaim(1_000)).isFalse();
        assertThat(second.shouldClaim(1_000 + PlannerElection.TURN_DELAY_MILLIS)).isTrue();
    }

    @Test
    void noEntryClaimsWhileThePlannerIsAlive() {
        applyClaim(3, "b", 9);
        assertThat(electionOf("a").shouldClaim(1_000)).isFalse();
        liveEntries = List.of("a");
        assertThat(electionOf("a").shouldClaim(1_000)).isTrue();
    }

    @Test
    void claimOfAnEarlierIncarnationDoesNotCount() {
        applyClaim(3, "a", 4);
        assertThat(electionOf("a").heldEpoch()).isEmpty();
        assertThat(electionOf("a").shouldClaim(1_000)).isTrue();
        applyClaim(4, "a", 5);
        assertThat(electionOf("a").heldEpoch()).contains(4L);
        assertThat(electionOf("a").shouldClaim(1_000)).isFalse();
    }
}
