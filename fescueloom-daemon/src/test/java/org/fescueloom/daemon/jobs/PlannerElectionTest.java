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
    private List<String> live = List.of("a", "b");

    private PlannerElection election(String entry) {
        return new PlannerElection(entry, 5, epochs, () -> live);
    }

    private void claim(long offset, String entry, long incarnation) {
        EpochClaim claim = new EpochClaim(EpochClaim.VERSION, entry, incarnation, 0);
        epochs.apply(new LogRecord(offset, 0, "c" + offset, Json.tree(claim)));
    }

    @Test
    void firstLiveEntryClaimsAndTheNextOnlyLater() {
        PlannerElection first = election("a");
        PlannerElection second = election("b");
        assertThat(first.shouldClaim(1_000)).isTrue();
        assertThat(second.shouldClaim(1_000)).isFalse();
        assertThat(second.shouldClaim(1_000 + PlannerElection.TURN_DELAY_MILLIS)).isTrue();
    }

    @Test
    void nobodyClaimsWhileTheHolderLives() {
        claim(3, "b", 9);
        assertThat(election("a").shouldClaim(1_000)).isFalse();
        live = List.of("a");
        assertThat(election("a").shouldClaim(1_000)).isTrue();
    }

    @Test
    void claimOfAnEarlierIncarnationIsVacant() {
        claim(3, "a", 4);
        assertThat(election("a").heldEpoch()).isEmpty();
        assertThat(election("a").shouldClaim(1_000)).isTrue();
        claim(4, "a", 5);
        assertThat(election("a").heldEpoch()).contains(4L);
        assertThat(election("a").shouldClaim(1_000)).isFalse();
    }
}
