package org.fescueloom.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fescueloom.failure.Outcome;
import org.fescueloom.wire.ClaimReply;
import org.fescueloom.wire.RequestClaim;

/**
 * Walks random orders of the messages between two runs of one request, the three holders of its
 * claim and the agent of its attempts.
 *
 * <p>Messages overtake each other, claims are repeated as after a timeout, and both are carried out
 * at any later time.
 */
class ClaimInterleavingTest {
    private static final int HOLDERS = 3;
    private static final int MAX_ATTEMPTS = 4;
    private static final long RETENTION_NANOS = 300_000_000_000L;
    private static final long LONG_AGO = -RETENTION_NANOS;

    @Property(seed = "61", tries = 30_000)
    void runsARequestOnceWhateverTheOrder(@ForAll long seed) {
        Walk walk = new Walk(seed);
        walk.toTheEnd();
        assertThat(walk.timesRun).as("times that the request ran").isLessThanOrEqualTo(1);
        assertThat(walk.runs).allMatch(run -> run.progress.isFinished());
    }

    private static final class Walk {
        private final Random random;
        private final List<Runnable> inFlight = new ArrayList<>();
        private final List<ClaimRegistry> holders = new ArrayList<>();
        private final List<Run> runs = new ArrayList<>();
        private final Set<String> barred = new HashSet<>();
        private final Set<String> ran = new HashSet<>();
        private int timesRun;

        private Walk(long seed) {
            random = new Random(seed);
            for (int i = 0; i < HOLDERS; i++) {
                holders.add(new ClaimRegistry(RETENTION_NANOS, 10, LONG_AGO));
            }
            for (String name : List.of("one", "two")) {
                Run run = new Run(this, name);
                runs.add(run);
                run.take(run.progress.onAccepted());
            }
        }

        private boolean oneIn(int chances) {
            return random.nextInt(chances) == 0;
        }

        private void toTheEnd() {
            while (!inFlight.isEmpty()) {
                inFlight.remove(random.nextInt(inFlight.size())).run();
            }
        }

        private Outcome attempt(String attempt) {
            if (barred.contains(attempt) || oneIn(4)) {
                barred.add(attempt);
                return Outcome.NOT_RUN;
            }
            timesRun++;
            ran.add(attempt);
            return Outcome.RAN;
        }

        private Outcome resolve(String attempt) {
            if (ran.contains(attempt)) {
                return Outcome.RAN;
            }
            barred.add(attempt);
            return Outcome.NOT_RUN;
        }
    }

    private static final class Run {
        private final Walk walk;
        private final String name;
        private final RequestProgress progress = new RequestProgress(false, true);
        private int sequence;
        private RequestClaim claim;

        private Run(Walk walk, String name) {
            this.walk = walk;
            this.name = name;
        }

        private void take(Optional<RequestAction> action) {
            action.ifPresent(this::perform);
        }

        private void perform(RequestAction action) {
            switch (action) {
                case CLAIM_IDENTIFIER -> claim(null);
                case SEND_ATTEMPT -> send();
                case CONSIDER_RETRY ->
                        take(progress.onRetryDecision(progress.attempts() < MAX_ATTEMPTS));
                default -> {}
            }
        }

        private void claim(String replaces) {
            String attempt = new AttemptId(name, 1, ++sequence).toString();
            claim = new RequestClaim("r", name, "d", attempt, "u", "127.0.0.1:1", 1, replaces);
            RequestClaim sent = claim;
            ClaimTally tally = new ClaimTally(HOLDERS);
            boolean[] decided = new boolean[1];
            for (ClaimRegistry holder : walk.holders) {
                if (walk.oneIn(3)) {
                    walk.inFlight.add(() -> holder.claim(sent, 0));
                }
                walk.inFlight.add(() -> put(holder, sent, tally, decided));
            }
        }

        private void put(
                ClaimRegistry holder, RequestClaim sent, ClaimTally tally, boolean[] decided) {
            ClaimReply reply = walk.oneIn(8) ? null : holder.claim(sent, 0);
            walk.inFlight.add(
                    () -> {
                        tally.count(reply);
                        if (!decided[0] && tally.verdict() != ClaimTally.Verdict.OPEN) {
                            decided[0] = true;
                            decide(tally);
                        }
                    });
        }

        private void decide(ClaimTally tally) {
            boolean joining = progress.state() == RequestState.JOINING;
            if (tally.verdict() == ClaimTally.Verdict.CLAIMED) {
                take(progress.onEvent(joining ? RequestEvent.TAKEN_OVER : RequestEvent.CLAIMED));
                return;
            }
            withdraw();
            if (tally.verdict() == ClaimTally.Verdict.TAKEN && sequence < MAX_ATTEMPTS) {
                progress.onEvent(RequestEvent.CLAIM_TAKEN);
                String other = tally.competingClaim().orElseThrow().attempt();
                walk.inFlight.add(() -> joined(other, walk.resolve(other)));
            } else {
                take(progress.onEvent(joining ? RequestEvent.UNKNOWN : RequestEvent.CLAIM_FAILED));
            }
        }

        private void withdraw() {
            RequestClaim withdrawn = claim;
            for (ClaimRegistry holder : walk.holders) {
                walk.inFlight.add(() -> holder.withdraw(withdrawn.request(), withdrawn.attempt()));
            }
        }

        private void joined(String other, Outcome outcome) {
            walk.inFlight.add(
                    () -> {
                        if (outcome == Outcome.NOT_RUN) {
                            claim(other);
                        } else {
                            take(progress.onEvent(RequestEvent.ANSWERED));
                        }
                    });
        }

        private void send() {
            String attempt = claim.attempt();
            walk.inFlight.add(() -> answered(walk.attempt(attempt)));
        }

        private void answered(Outcome outcome) {
            walk.inFlight.add(
                    () ->
                            take(
                                    outcome == Outcome.NOT_RUN
                                            ? progress.onAttemptFailed(outcome)
                                            : progress.onEvent(RequestEvent.ANSWERED)));
        }
    }
}
