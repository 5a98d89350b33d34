package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fescueloom.work.RunEnd;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RecentStartsTest {
    private static final RunStatus RUN = new RunStatus("j.0.0.0", 1, "", 100, 0);

    private final RecentStarts starts = new RecentStarts();

    private static UpstreamSnapshot snapshot(List<RunStatus> running, List<EndedRun> ended) {
        return new UpstreamSnapshot(1, 1, running, ended, true);
    }

    @Nested
    class ARunThatHasStarted {
        // Guards against issue 53: the answer to an earlier poll dropped a run that had just
        // started, and its task waited for its lease after the upstream had left.
        @Test
        void isKeptByTheAnswerToAnEarlierPoll() {
            starts.add(RUN, 7);

            assertThat(starts.addTo(snapshot(List.of(), List.of()), 7)).containsExactly(RUN);
            assertThat(starts.addTo(snapshot(List.of(), List.of()), 6)).containsExactly(RUN);
        }

        @Test
        void isDroppedByTheAnswerToALaterPoll() {
            starts.add(RUN, 7);

            assertThat(starts.addTo(snapshot(List.of(), List.of()), 8)).isEmpty();
        }

        @Test
        void isNotListedTwice() {
            starts.add(RUN, 7);

            assertThat(starts.addTo(snapshot(List.of(RUN), List.of()), 7)).containsExactly(RUN);
        }

        @Test
        void isDroppedOnceItsEndIsListed() {
            starts.add(RUN, 7);
            EndedRun end = new EndedRun(1, RUN.task(), RUN.run(), RunEnd.DONE, "");

            assertThat(starts.addTo(snapshot(List.of(), List.of(end)), 7)).isEmpty();
            assertThat(starts.addTo(snapshot(List.of(), List.of()), 7)).isEmpty();
        }

        @Test
        void isForgottenWithItsIncarnation() {
            starts.add(RUN, 7);
            starts.clear();

            assertThat(starts.addTo(snapshot(List.of(), List.of()), 7)).isEmpty();
        }
    }
}
