package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fescueloom.daemon.dispatch.UpstreamTracker.DeregistrationEffect;
import org.fescueloom.daemon.dispatch.UpstreamTracker.ReportEffect;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.work.Resources;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UpstreamTrackerTest {
    private static final long BORN = 1_780_000_000_000L;

    private final UpstreamTracker tracker = new UpstreamTracker();
    private long now;

    private static UpstreamNotice report(String instance, long born, long sequence) {
        return new UpstreamNotice(
                instance,
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

    private ReportEffect hear(String instance, long born, long sequence) {
        return tracker.onReport(report(instance, born, sequence), now);
    }

    /** Makes an incarnation the present one: it reports and answers a poll. */
    private void confirm(String instance, long born) {
        UpstreamNotice report = report(instance, born, 1);
        tracker.onReport(report, now);
        tracker.onCandidateAnswer(report, born);
    }

    private UpstreamState state() {
        return tracker.notice().state();
    }

    @Nested
    class StatusReports {
        @Test
        void makeACandidateOnly() {
            assertThat(hear("i", BORN, 1)).isEqualTo(ReportEffect.CANDIDATE);

            assertThat(tracker.notice()).isNull();
            assertThat(tracker.candidatesToPoll(now)).hasSize(1);
        }

        // Guards against issue 53: one report of another identifier ended the runs of the present
        // upstream, and took its machine out of service.
        @Test
        void ofAnotherIdentifierLeaveThePresentOneInPlace() {
            confirm("i", BORN);

            assertThat(hear("j", BORN + 5_000, 1)).isEqualTo(ReportEffect.CANDIDATE);

            assertThat(tracker.notice().boot()).isEqualTo("i@" + BORN);
            assertThat(tracker.candidatesToPoll(now))
                    .extracting(UpstreamNotice::instance)
                    .containsExactly("j");
            assertThat(hear("i", BORN, 2)).isEqualTo(ReportEffect.UNCHANGED);
        }

        // Guards against issue 53: one report of the same identifier with a later start took the
        // machine out of service.
        @Test
        void ofALaterStartLeaveThePresentOneInPlace() {
            confirm("i", BORN);

            hear("i", BORN + 5_000, 1);
            assertThat(tracker.onAnswer(BORN)).isTrue();

            assertThat(tracker.notice().boot()).isEqualTo("i@" + BORN);
            assertThat(hear("i", BORN, 2)).isEqualTo(ReportEffect.UNCHANGED);
        }

        @Test
        void changeTheStateOfThePresentOne() {
            confirm("i", BORN);
            UpstreamNotice draining = report("i", BORN, 2).withState(UpstreamState.DRAINING);

            assertThat(tracker.onReport(draining, now)).isEqualTo(ReportEffect.STATE_CHANGED);
            assertThat(state()).isEqualTo(UpstreamState.DRAINING);
            assertThat(hear("i", BORN, 1)).isEqualTo(ReportEffect.IGNORED);
            assertThat(state()).isEqualTo(UpstreamState.DRAINING);
        }

        @Test
        void ofManyIdentifiersKeepTheNewestCandidates() {
            for (int i = 0; i < 100; i++) {
                hear("i-" + i, BORN, 1);
            }

            assertThat(tracker.candidatesToPoll(now)).hasSize(UpstreamTracker.MAX_CANDIDATES);
            assertThat(tracker.candidatesToPoll(now))
                    .extracting(UpstreamNotice::instance)
                    .contains("i-99");
        }

        @Test
        void ofASilentCandidateAreForgotten() {
            hear("i", BORN, 1);
            now += UpstreamTracker.CANDIDATE_LIFETIME_MILLIS + 1;

            assertThat(tracker.candidatesToPoll(now)).isEmpty();
        }
    }

    @Nested
    class Answers {
        @Test
        void ofAnotherStartReplaceThePresentIncarnation() {
            confirm("i", BORN);
            hear("i", BORN + 700, 1);

            assertThat(tracker.onAnswer(BORN + 700)).isFalse();
            assertThat(tracker.notice().boot()).isEqualTo("i@" + (BORN + 700));
            assertThat(hear("i", BORN + 700, 2)).isEqualTo(ReportEffect.UNCHANGED);
        }

        // Guards against issue 53: an upstream that started again after its clock was set back got
        // no task any more.
        @Test
        void ofAnEarlierStartReplaceThePresentIncarnationToo() {
            confirm("i", BORN);
            long earlier = BORN - 60_000;
            hear("i", earlier, 1);

            assertThat(tracker.onAnswer(earlier)).isFalse();
            assertThat(tracker.notice().boot()).isEqualTo("i@" + earlier);
            assertThat(hear("i", earlier, 2)).isEqualTo(ReportEffect.UNCHANGED);
        }

        // A new incarnation may be of another kind, and a candidate may come from another writer.
        @Test
        void ofAnUndescribedIncarnationAcceptNoTasksUntilItsReport() {
            confirm("i", BORN);
            tracker.onAnswer(BORN + 700);
            assertThat(state()).isEqualTo(UpstreamState.STARTING);
            assertThat(hear("i", BORN + 700, 1)).isEqualTo(ReportEffect.STATE_CHANGED);
            assertThat(state()).isEqualTo(UpstreamState.READY);

            tracker.onOtherUpstream();
            UpstreamNotice foreign = report("i", BORN + 9_000, 1);
            tracker.onReport(foreign, now);
            tracker.onCandidateAnswer(foreign, BORN + 700);
            assertThat(state()).isEqualTo(UpstreamState.STARTING);
        }

        @Test
        void ofAnotherUpstreamEndThePresentIncarnation() {
            confirm("i", BORN);
            hear("j", BORN + 1, 1);
            tracker.onOtherUpstream();

            assertThat(state()).isEqualTo(UpstreamState.GONE);
            assertThat(tracker.hasPresent()).isFalse();
            assertThat(tracker.candidatesToPoll(now)).hasSize(1);
        }

        @Test
        void ofACandidateUnderAnotherStartAreNotItsOwn() {
            UpstreamNotice candidate = report("i", BORN, 1);
            tracker.onReport(candidate, now);

            assertThat(tracker.onCandidateAnswer(candidate, BORN + 700)).isFalse();
            assertThat(tracker.notice().boot()).isEqualTo("i@" + (BORN + 700));
        }

        @Test
        void bringBackAnIncarnationThatCountedAsGone() {
            confirm("i", BORN);
            tracker.onOtherUpstream();

            assertThat(hear("i", BORN, 2)).isEqualTo(ReportEffect.CANDIDATE);
            assertThat(tracker.hasPresent()).isFalse();
            tracker.onCandidateAnswer(report("i", BORN, 2), BORN);
            assertThat(state()).isEqualTo(UpstreamState.READY);
        }
    }

    @Nested
    class Deregistrations {
        // Guards against issue 53: a deregistration ended the runs of an upstream that was at work.
        @Test
        void doNotEndThePresentIncarnation() {
            confirm("i", BORN);

            assertThat(tracker.onDeregistration("i", 0, now))
                    .isEqualTo(DeregistrationEffect.PRESENT_LEAVES);
            assertThat(state()).isEqualTo(UpstreamState.LEAVING);
            assertThat(tracker.onAnswer(BORN)).isTrue();
            assertThat(hear("i", BORN, 2)).isEqualTo(ReportEffect.STATE_CHANGED);
            assertThat(state()).isEqualTo(UpstreamState.READY);
        }

        @Test
        void andARefusedConnectionEndThePresentIncarnation() {
            confirm("i", BORN);
            tracker.onDeregistration("i", BORN, now);

            assertThat(tracker.onConnectionRefused(now)).isTrue();
            assertThat(state()).isEqualTo(UpstreamState.GONE);
        }

        @Test
        void areNeededForARefusedConnectionToEndIt() {
            confirm("i", BORN);

            assertThat(tracker.onConnectionRefused(now)).isFalse();
            assertThat(tracker.hasPresent()).isTrue();
        }

        // A status report that was on its way may arrive after the deregistration.
        @Test
        void countAlsoAfterALateStatusReport() {
            confirm("i", BORN);
            tracker.onDeregistration("i", BORN, now);
            hear("i", BORN, 2);

            assertThat(tracker.onConnectionRefused(now)).isTrue();
        }

        @Test
        void areForgottenOnceTheUpstreamGoesOn() {
            confirm("i", BORN);
            tracker.onDeregistration("i", 0, now);
            now += UpstreamTracker.MAX_REPORT_DELAY_MILLIS + 1;
            hear("i", BORN, 2);

            assertThat(tracker.onConnectionRefused(now)).isFalse();
        }

        // An upstream that is reclaimed ends at the time that it named, without a deregistration.
        @Test
        void areNotNeededOnceTheTimeOfADrainingUpstreamHasPassed() {
            confirm("i", BORN);
            tracker.onReport(draining(1_700), now);
            assertThat(tracker.onConnectionRefused(now + 1_699)).isFalse();

            assertThat(tracker.onConnectionRefused(now + 1_700)).isTrue();
            assertThat(state()).isEqualTo(UpstreamState.GONE);
        }

        private UpstreamNotice draining(long leavesInMillis) {
            return new UpstreamNotice(
                    "i",
                    BORN,
                    "s",
                    "z",
                    UpstreamState.DRAINING,
                    Resources.NONE,
                    List.of(),
                    "",
                    leavesInMillis,
                    2);
        }

        @Test
        void ofOtherIncarnationsAreIgnored() {
            confirm("i", BORN);

            assertThat(tracker.onDeregistration("i", BORN - 700, now))
                    .isEqualTo(DeregistrationEffect.IGNORED);
            assertThat(tracker.onDeregistration("j", 0, now))
                    .isEqualTo(DeregistrationEffect.IGNORED);
            assertThat(state()).isEqualTo(UpstreamState.READY);
        }

        @Test
        void ofACandidateHoldOnceItAnswers() {
            UpstreamNotice candidate = report("i", BORN, 1);
            tracker.onReport(candidate, now);
            assertThat(tracker.onDeregistration("i", BORN, now))
                    .isEqualTo(DeregistrationEffect.CANDIDATE_LEAVES);

            tracker.onCandidateAnswer(candidate, BORN);
            assertThat(state()).isEqualTo(UpstreamState.LEAVING);
        }
    }

    @Nested
    class Tokens {
        @Test
        void growWithEachIncarnationAlsoIfItsClockWasSetBack() {
            confirm("i", BORN);
            long first = FencingToken.of(1, tracker.tokenStartMillis());
            tracker.onAnswer(BORN - 60_000);
            long second = FencingToken.of(1, tracker.tokenStartMillis());
            tracker.onAnswer(BORN - 59_000);
            long third = FencingToken.of(1, tracker.tokenStartMillis());

            assertThat(first).isLessThan(second);
            assertThat(second).isLessThan(third);
        }

        @Test
        void forACandidateAreThoseOfItsCallsOnceItAnswers() {
            confirm("i", BORN);
            UpstreamNotice candidate = report("j", BORN - 5_000, 1);
            tracker.onReport(candidate, now);
            long polled = FencingToken.of(1, tracker.tokenStartMillis(candidate));
            long before = FencingToken.of(1, tracker.tokenStartMillis());
            tracker.onCandidateAnswer(candidate, candidate.bornMillis());

            assertThat(polled).isGreaterThan(before);
            assertThat(FencingToken.of(1, tracker.tokenStartMillis())).isEqualTo(polled);
        }

        // Guards against issue 53: after a restart of the agent, an upstream whose clock was set
        // back refused all tokens and got no task any more.
        @Test
        void reachARefusedUpstreamWithinThreeSeconds() {
            confirm("i", BORN - 60_000);
            long wanted = FencingToken.of(1, BORN);
            int refusals = 0;
            while (FencingToken.of(1, tracker.pollTokenStartMillis()) < wanted) {
                tracker.raiseToken();
                refusals++;
            }

            // The agent polls again 250 ms after a refusal.
            assertThat(refusals).isLessThanOrEqualTo(12);
            tracker.onAnswer(BORN - 60_000);
            assertThat(FencingToken.of(1, tracker.tokenStartMillis()))
                    .isGreaterThanOrEqualTo(wanted);
        }

        @Test
        void neverReachTheNextEpoch() {
            confirm("i", BORN);
            for (int i = 0; i < 100; i++) {
                tracker.raiseToken();
            }

            assertThat(FencingToken.of(1, tracker.pollTokenStartMillis()))
                    .isLessThan(FencingToken.of(2, 0));
        }

        @Test
        void startAnewWithEachEpoch() {
            confirm("i", BORN);
            tracker.raiseToken();
            long before = FencingToken.of(1, tracker.pollTokenStartMillis());
            tracker.onNewEpoch();

            assertThat(tracker.tokenStartMillis()).isEqualTo(BORN);
            assertThat(FencingToken.of(2, tracker.tokenStartMillis())).isGreaterThan(before);
        }
    }
}
