package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.work.JobStatus;
import org.fescueloom.work.RunEnd;
import org.fescueloom.work.Submission;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link IntakeFollower} through a dispatcher that follows two partitions. */
class IntakeFollowerTest {
    /** The time for which the bed keeps ended jobs. */
    private static final long RETENTION_MILLIS = 60_000;

    /** Longer than the minimum time between two removals. */
    private static final long REMOVAL_WAIT_MILLIS = 6_000;

    private final DispatcherBed bed = new DispatcherBed(2);
    private final ManualScheduler loop = bed.loop();
    private final FakeAgent agent = new FakeAgent("a", loop);
    private final Submission job = JobSamples.singleTask("j");

    private void setSilent(int partition, boolean silent) {
        bed.log().setSilent(IntakeRequest.partition(partition), silent);
    }

    /** Guards against incident 45: nobody dispatched while a partition of the intake was silent. */
    @Nested
    class SilentPartitions {
        @Test
        void holdUpOnlyTheirOwnRecords() {
            Dispatcher dispatcher = bed.claim();
            setSilent(0, true);
            bed.store(1, IntakeRequest.of(job));
            agent.exchange(dispatcher);

            assertThat(agent.running).hasSize(1);
        }

        @Test
        void doNotHoldUpATakeover() {
            bed.store(1, IntakeRequest.of(job));
            setSilent(0, true);
            agent.exchange(bed.claim());

            assertThat(agent.running).hasSize(1);
        }

        @Test
        void areReadOnceTheyRespond() {
            bed.store(0, IntakeRequest.of(job));
            setSilent(0, true);
            Dispatcher dispatcher = bed.claim();
            loop.advance(5_000);
            setSilent(0, false);
            loop.advance(1_000);

            assertThat(bed.jobStatus(dispatcher, "j")).isEqualTo(JobStatus.QUEUED);
        }

        /**
         * Guards against a late recovery: a read that waits for records takes a second longer to
         * time out, and as long to show that a partition responds.
         */
        @Test
        void areReadWithoutAWaitUntilTheyRespond() {
            bed.claim();
            loop.advance(100);
            assertThat(bed.log().lastWait(IntakeRequest.partition(0))).isPositive();
            setSilent(0, true);
            loop.advance(2_000);
            assertThat(bed.log().lastWait(IntakeRequest.partition(0))).isZero();
            assertThat(bed.log().lastWait(IntakeRequest.partition(1))).isPositive();
        }

        @Test
        void leaveItOpenWhetherAJobExists() {
            Dispatcher dispatcher = bed.claim();
            setSilent(0, true);
            CompletableFuture<JobStatus> status = dispatcher.status("j");
            loop.advance(0);

            assertThat(status.handle((v, error) -> Failures.typeOf(error)))
                    .isCompletedWithValue(FailureType.LOG_UNAVAILABLE);
        }

        /**
         * Guards against a second run of an ended job: a record of it in a partition that was not
         * read outlived the job in the job log.
         */
        @Test
        void keepEndedJobsFromBeingForgotten() {
            Dispatcher first = bed.claim();
            bed.store(1, IntakeRequest.of(job));
            agent.exchange(first);
            agent.end(RunEnd.DONE);
            agent.exchange(first);
            bed.store(0, IntakeRequest.of(job));
            first.close();
            setSilent(0, true);
            Dispatcher second = bed.claim();
            loop.advance(2 * RETENTION_MILLIS);
            assertThat(bed.jobStatus(second, "j")).isEqualTo(JobStatus.SUCCEEDED);
            setSilent(0, false);

            for (int i = 0; i < 100; i++) {
                loop.advance(10);
                if (!bed.newestKeys(JobStore.LOG).contains("j/j")) {
                    assertThat(bed.newestKeys(IntakeRequest.partition(0))).isEmpty();
                    assertThat(bed.newestKeys(IntakeRequest.partition(1))).isEmpty();
                }
            }
            assertThat(bed.newestKeys(JobStore.LOG)).doesNotContain("j/j");
        }

        /**
         * Guards against a start of a cancelled job: a dispatcher that could not read the partition
         * of the cancellation admitted the job from another one.
         */
        @Test
        void doNotHideACancellationThatWasReadBefore() {
            Dispatcher first = bed.claim();
            bed.cancel("j");
            loop.advance(REMOVAL_WAIT_MILLIS);
            first.close();
            setSilent(0, true);
            Dispatcher second = bed.claim();
            bed.store(1, IntakeRequest.of(job));
            agent.exchange(second);

            assertThat(agent.running).isEmpty();
            assertThat(bed.jobStatus(second, "j")).isEqualTo(JobStatus.CANCELLED);
        }
    }
}
