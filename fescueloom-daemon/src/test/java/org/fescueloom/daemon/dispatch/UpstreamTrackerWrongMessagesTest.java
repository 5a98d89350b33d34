package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.work.Resources;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what an upstream tracker concludes from messages that turn out to be wrong. */
class UpstreamTrackerWrongMessagesTest {
    private static final long BORN = 1_780_000_000_000L;
    private static final long TEN_DAYS_MILLIS = 864_000_000L;
    private static final long REPORT_INTERVAL_MILLIS = 1_500;

    private final UpstreamTracker tracker = new UpstreamTracker();
    private long now;

    private static UpstreamNotice report(long born, long sequence) {
        return new UpstreamNotice(
                "i",
                born,
                "s",
                "z",
                UpstreamState.READY,
                Resources.NONE,
                List.of(),
                "",
                0,
                sequence);
    }

    @Nested
    class DeregistrationOfAnotherWriter {
        // Guards against runs that are ended while they are at work: a deregistration held for
        // good, so that one refused connection ended an upstream that had reported and answered
        // since.
        @Test
        void doesNotCountOnceTheUpstreamHasReportedForAMinute() {
            UpstreamNotice first = report(BORN, 1);
            tracker.onReport(first, now);
            tracker.onCandidateAnswer(first, BORN);
            tracker.onDeregistration("i", 0, now);
            for (int sequence = 2; sequence <= 41; sequence++) {
                now += REPORT_INTERVAL_MILLIS;
                tracker.onReport(report(BORN, sequence), now);
                tracker.onAnswer(BORN);
            }
            assertThat(tracker.notice().state()).isEqualTo(UpstreamState.READY);

            assertThat(tracker.onConnectionRefused(now)).isFalse();
        }
    }

    @Nested
    class CandidateThatNamesAnotherStart {
        // Guards against a machine without work for the rest of an epoch: a candidate was polled
        // with a token that the later calls to the upstream that answered never reached.
        @Test
        void leavesTokensThatTheUpstreamAccepts() {
            UpstreamNotice candidate = report(BORN + TEN_DAYS_MILLIS, 1);
            tracker.onReport(candidate, now);
            final long polled = FencingToken.of(1, tracker.tokenStartMillis(candidate));
            tracker.onCandidateAnswer(candidate, BORN);
            for (int refusals = 0; refusals < 100; refusals++) {
                tracker.raiseToken();
            }

            assertThat(FencingToken.of(1, tracker.pollTokenStartMillis()))
                    .isGreaterThanOrEqualTo(polled);
        }
    }

    @Nested
    class IncarnationThatHasNotReported {
        // Guards against tasks on an upstream that drains, or that is of another kind: the reports
        // of the incarnation before were taken for those of the present one.
        @Test
        void isNotReady() {
            UpstreamNotice first = report(BORN, 1);
            tracker.onReport(first, now);
            tracker.onCandidateAnswer(first, BORN);

            tracker.onAnswer(BORN + 700);

            assertThat(tracker.notice().boot()).isEqualTo("i@" + (BORN + 700));
            assertThat(tracker.notice().state()).isNotEqualTo(UpstreamState.READY);
        }
    }
}
