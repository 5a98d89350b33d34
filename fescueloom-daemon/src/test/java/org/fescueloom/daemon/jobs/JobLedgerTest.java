package org.fescueloom.daemon.jobs;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.fescueloom.job.JobAccepted;
import org.fescueloom.job.JobCancelled;
import org.fescueloom.job.JobRecord;
import org.fescueloom.job.JobRecordCodec;
import org.fescueloom.job.RecordEffect;
import org.fescueloom.log.LogRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class JobLedgerTest {
    private final JobLedger ledger = new JobLedger();

    private void apply(long offset, long atMillis, String id, JobRecord record) {
        ledger.apply(new LogRecord(offset, atMillis, id, JobRecordCodec.write(record)));
    }

    private static JobAccepted accepted(String job) {
        return new JobAccepted(job, JobTestBed.spec(1, 1, 1), 0);
    }

    @Nested
    class EffectFutures {
        @Test
        void learnWhatTheirRecordDid() {
            CompletableFuture<RecordEffect> first = ledger.futureEffect("a");
            CompletableFuture<RecordEffect> forgotten = ledger.futureEffect("b");
            ledger.discardFuture("b");
            apply(0, 0, "a", accepted("j"));
            apply(1, 0, "b", accepted("j"));
            assertThat(first).isCompletedWithValue(RecordEffect.APPLIED);
            assertThat(forgotten).isNotDone();
        }

        @Test
        void areNotToldOfARecordThatWasAppliedBefore() {
            apply(0, 0, "a", accepted("j"));
            CompletableFuture<RecordEffect> late = ledger.futureEffect("a");
            apply(0, 0, "a", accepted("j"));
            assertThat(late).isNotDone();
        }
    }

    @Nested
    class Retention {
        private static final long DAY = JobLedger.FINISHED_RETENTION_MILLIS;

        @Test
        void forgetsFinishedJobsByTheTimeOfTheLogOnly() {
            apply(0, 1_000, "a", accepted("over"));
            apply(1, 1_000, "b", accepted("waits"));
            apply(2, 1_000, "c", new JobCancelled("over", 1));
            apply(3, 1_000 + DAY, "d", accepted("x"));
            assertThat(ledger.job("over")).isPresent();
            apply(4, 1_001 + DAY, "e", accepted("y"));
            assertThat(ledger.job("over")).isEmpty();
            assertThat(ledger.job("waits")).isPresent();
        }
    }
}
