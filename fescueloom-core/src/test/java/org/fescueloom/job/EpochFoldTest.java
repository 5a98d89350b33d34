package org.fescueloom.job;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.TextNode;
import org.fescueloom.json.Json;
import org.fescueloom.log.LogRecord;
import org.junit.jupiter.api.Test;

class EpochFoldTest {
    private final EpochFold fold = new EpochFold();

    private void claim(long offset, String id, String entry, int version) {
        EpochClaim claim = new EpochClaim(version, entry, 7, 1);
        fold.apply(new LogRecord(offset, 0, id, Json.tree(claim)));
    }

    @Test
    void lastClaimIsInForceAndItsOffsetIsTheEpoch() {
        assertThat(fold.epoch()).isEqualTo(-1);
        claim(0, "a", "entry-1", EpochClaim.VERSION);
        claim(1, "b", "entry-2", EpochClaim.VERSION);
        assertThat(fold.epoch()).isEqualTo(1);
        assertThat(fold.claim().orElseThrow().isBy("entry-2", 7)).isTrue();
        assertThat(fold.claim().orElseThrow().isBy("entry-2", 8)).isFalse();
    }

    @Test
    void repeatOfTheLastClaimAndRecordBelowTheNextOffsetChangeNothing() {
        claim(0, "a", "entry-1", EpochClaim.VERSION);
        claim(1, "a", "entry-1", EpochClaim.VERSION);
        claim(0, "late", "entry-2", EpochClaim.VERSION);
        assertThat(fold.epoch()).isZero();
        assertThat(fold.nextOffset()).isEqualTo(2);
    }

    @Test
    void unreadableRecordsAreCountedAndSkipped() {
        claim(0, "a", "entry-1", EpochClaim.VERSION);
        claim(1, "b", "entry-2", EpochClaim.VERSION + 1);
        fold.apply(new LogRecord(2, 0, "c", new TextNode("?")));
        assertThat(fold.epoch()).isZero();
        assertThat(fold.unreadableRecords()).isEqualTo(2);
    }
}
