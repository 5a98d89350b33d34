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
 * Simulates two runs of one request with random orders of the messages between the runs, the three
 * agents that record the claim and the agent of the attempts.
 *
 * <p>Messages arrive out of order. Claims are sent twice, as after a timeout, and both copies can
 * be processed at any later time.
 */
class ClaimInterleavingTest {
    private static final int AGENTS = 3;
    private static final int MAX_ATTEMPTS = 4;
    private static final long RETENTION_NANOS = 300_000_000_000L;
    private static final long LONG_AGO = -RETENTION_NANOS;

    @Property(seed = "61", tries = 30_000)
    void runsARequestAtMostOnceInAnyMessageOrder(@ForAll long seed) {
        Simulation simulation = new Simulation(seed);
        simulation.deliverAll();
        assertThat(simulation.timesRun)
                .as("number of times that the request ran")
                .isLessThanOrEqualTo(1);
        assertThat(simulation.runs).allMatch(run -> run.progress.isFinished());
    }

    private static final class Simulation {
        private final Random random;
        private final List<Runnable> inFlight = new ArrayList<>();
        private final List<ClaimRegistry> registries = new ArrayList<>();
        private final List<RequestRun> runs = new ArrayList<>();
        private final Set<String> reportedNotRun = new HashSet<>();
        private final Set<String> ran = new HashSet<>();
        private int timesRun;

        private Simulation(long seed) {
            random = new Random(seed);
            for (int i = 0; i < AGENTS; i++) {
                registries.add(new ClaimRegistry(RETENTION_NANOS, 10, LONG_AGO));
            }
            for (String name : List.of("one", "two")) {
                RequestRun run = new RequestRun(this, name);
                runs.add(run);
                run.performIfPresent(run.progress.onAccepted());
            }
        }

        private boolean oneIn(int chances) {
            return random.nextInt(chances) == 0;
        }

        private void deliverAll() {
            while (!inFlight.isEmpty()) {
                inFlight.remove(random.nextInt(inFlight.size())).run();
            }
        }

        private Outcome attempt(String attempt) {
            if (reportedNotRun.contains(attempt) || oneIn(4)) {
                reportedNotRun.add(attempt);
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
            reportedNotRun.add(attempt);
            return Outcome.NOT_RUN;
        }
    }

    private static final class RequestRun {
        private final Simulation simulation;
        private final String name;
        private final RequestProgress progress = new RequestProgress(false, true);
        private int sequence;
        private RequestClaim claim;

        private RequestRun(Simulation simulation, String name) {
            this.simulation = simulation;
            this.name = name;
        }

        private void performIfPresent(Optional<RequestAction> action) {
            action.ifPresent(this::perform);
        }

        private void perform(RequestAction action) {
            switch (action) {
                case CLAIM_IDENTIFIER -> claim(null);
                case SEND_ATTEMPT -> send();
                case CONSIDER_RETRY ->
                        performIfPresent(
                                progress.onRetryDecision(progress.attempts() < MAX_ATTEMPTS));
                default -> {}
            }
        }

        private void claim(String replaces) {
            String attempt = new AttemptId(name, 1, ++sequence).toString();
            claim = new RequestClaim("r", name, "d", attempt, "u", "127.0.0.1:1", 1, replaces);
            RequestClaim sent = claim;
            ClaimTally tally = new ClaimTally(AGENTS);
            boolean[] decided = new boolean[1];
            for (ClaimRegistry registry : simulation.registries) {
                if (simulation.oneIn(3)) {
                    simulation.inFlight.add(() -> registry.claim(sent, 0));
                }
                simulation.inFlight.add(() -> deliverClaim(registry, sent, tally, decided));
            }
        }

        private void deliverClaim(
                ClaimRegistry registry, RequestClaim sent, ClaimTally tally, boolean[] decided) {
            ClaimReply reply = simulation.oneIn(8) ? null : registry.claim(sent, 0);
            simulation.inFlight.add(
                    () -> {
                        tally.count(reply);
                        if (!decided[0] && tally.verdict() != ClaimTally.Verdict.OPEN) {
                            decided[0] = true;
                            onVerdict(tally);
                        }
                    });
        }

        private void onVerdict(ClaimTally tally) {
            boolean joining = progress.state() == RequestState.JOINING;
            if (tally.verdict() == ClaimTally.Verdict.CLAIMED) {
                performIfPresent(
                        progress.onEvent(joining ? RequestEvent.TAKEN_OVER : RequestEvent.CLAIMED));
                return;
            }
            withdraw();
            if (tally.verdict() == ClaimTally.Verdict.TAKEN && sequence < MAX_ATTEMPTS) {
                progress.onEvent(RequestEvent.CLAIM_TAKEN);
                String other = tally.competingClaim().orElseThrow().attempt();
                simulation.inFlight.add(() -> onResolved(other, simulation.resolve(other)));
            } else {
                performIfPresent(
                        progress.onEvent(
                                joining ? RequestEvent.UNKNOWN : RequestEvent.CLAIM_FAILED));
            }
        }

        private void withdraw() {
            RequestClaim withdrawn = claim;
            for (ClaimRegistry registry : simulation.registries) {
                simulation.inFlight.add(
                        () -> registry.withdraw(withdrawn.request(), withdrawn.attempt()));
            }
        }

        private void onResolved(String other, Outcome outcome) {
            simulation.inFlight.add(
                    () -> {
                        if (outcome == Outcome.NOT_RUN) {
                            claim(other);
                        } else {
                            performIfPresent(progress.onEvent(RequestEvent.ANSWERED));
                        }
                    });
        }

        private void send() {
            String attempt = claim.attempt();
            simulation.inFlight.add(() -> onResponse(simulation.attempt(attempt)));
        }

        private void onResponse(Outcome outcome) {
            simulation.inFlight.add(
                    () ->
                            performIfPresent(
                                    outcome == Outcome.NOT_RUN
                                            ? progress.onAttemptFailed(outcome)
                                            : progress.onEvent(RequestEvent.ANSWERED)));
        }
    }
}
