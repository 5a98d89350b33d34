package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.fescueloom.work.JobStatus;
import org.fescueloom.work.RunEnd;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests for how long ended jobs are known if the wall clock is set forward. */
class JobRetentionClockTest {
    /** As in {@link DispatcherBed}. */
    private static final long RETENTION_MILLIS = 60_000;

    private final DispatcherBed bed = new DispatcherBed();
    private final FakeAgent agent = new FakeAgent("a", bed.loop());
    private Dispatcher dispatcher;

    @BeforeEach
    void completeAJob() {
        dispatcher = bed.claim();
        agent.exchange(dispatcher);
        bed.submit(dispatcher, JobSamples.singleTask("j"));
        agent.exchange(dispatcher);
        agent.end(RunEnd.DONE);
        agent.exchange(dispatcher);
        assertThat(bed.jobStatus(dispatcher, "j")).isEqualTo(JobStatus.SUCCEEDED);
    }

    @Nested
    class AnEndedJob {
        // Guards against a job that is unknown to its caller too soon: a clock step counted as time
        // that had passed since its end.
        @Test
        void isKnownAfterAClockStep() {
            bed.loop().shiftWallClock(RETENTION_MILLIS);
            bed.loop().advance(2_000);

            assertThat(bed.jobStatus(dispatcher, "j")).isEqualTo(JobStatus.SUCCEEDED);
        }

        @Test
        void isForgottenAfterItsRetentionTime() {
            bed.loop().advance(RETENTION_MILLIS + 2_000);

            assertThat(bed.jobStatus(dispatcher, "j")).isEqualTo(JobStatus.UNKNOWN);
        }

        // Guards against the same for the clock of the machine that takes over.
        @Test
        void isKnownToTheNextDispatcherWhoseClockIsAhead() {
            bed.loop().shiftWallClock(RETENTION_MILLIS);
            Dispatcher next = bed.claim();
            bed.loop().advance(2_000);

            assertThat(bed.jobStatus(next, "j")).isEqualTo(JobStatus.SUCCEEDED);
        }
    }
}
