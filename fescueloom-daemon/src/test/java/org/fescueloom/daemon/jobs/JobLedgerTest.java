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

    private void apply(long offset, long timestampMillis, String id, JobRecord record) {
        ledger.apply(new LogRecord(offset, timestampMillis, id, JobRecordCodec.write(record)));
    }

    private static JobAccepted accepted(String job) {
        return new JobAccepted(job, JobTestBed.spec(1, 1, 1), 0);
    }

    @Nested
    class EffectFutures {
        @Test
        void completeWithTheEffectOfTheRecord() {
            CompletableFuture<RecordEffect> effect = ledger.futureEffect("a");
            CompletableFuture<RecordEffect> discarded = ledger.futureEffect("b");
            ledger.discardFuture("b");
            apply(0, 0, "a", accepted("j"));
            apply(1, 0, "b", accepted("j"));
            assertThat(effect).isCompletedWithValue(RecordEffect.APPLIED);
            assertThat(discarded).isNotDone();
        }

        @Test
        void doNotCompleteForARecordThatIsAlreadyApplied() {
            apply(0, 0, "a", accepted("j"));
            CompletableFuture<RecordEffect> effect = ledger.futureEffect("a");
            apply(0, 0, "a", accepted("j"));
            assertThat(effect).isNotDone();
        }
    }

    @Nested
    class Retention {
        private static final long RETENTION_MILLIS = JobLedger.FINISHED_RETENTION_MILLIS;

        @Test
        void removesFinishedJobsByTheTimestampsOfRecordsOnly() {
            apply(0, 1_000, "a", accepted("over"));
            apply(1, 1_000, "b", accepted("waits"));
            apply(2, 1_000, "c", new JobCancelled("over", 1));
            apply(3, 1_000 + RETENTION_MILLIS, "d", accepted("x"));
            assertThat(ledger.job("over")).isPresent();
            apply(4, 1_001 + RETENTION_MILLIS, "e", accepted("y"));
            assertThat(ledger.job("over")).isEmpty();
            assertThat(ledger.job("waits")).isPresent();
        }
    }
}
