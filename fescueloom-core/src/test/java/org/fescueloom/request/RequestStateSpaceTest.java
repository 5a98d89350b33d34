package org.fescueloom.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.fescueloom.chart.StateChart;
import org.fescueloom.chart.StateSpaceExplorer;
import org.fescueloom.failure.Outcome;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Walks every reachable combination of a request at its entry and two attempts at two agents, with
 * each fault at each step: messages late, lost or cut, agents killed, upstreams killed.
 */
class RequestStateSpaceTest {
    private static final StateChart<AttemptPhase, AttemptEvent, AttemptAction> ATTEMPTS =
            StateChart.load("attempt", AttemptPhase.class, AttemptEvent.class, AttemptAction.class);
    private static final int AGENTS = 2;

    /** Names mechanisms that a walk can leave out, to show that it finds the violation. */
    private enum Off {
        TOMBSTONE,
        RESOLVE_BEFORE_RETRY,
        WORST_OUTCOME
    }

    /** Is an attempt at one agent; a message on its way may arrive at any time or never. */
    private record Site(
            AttemptPhase phase, boolean sent, boolean onItsWay, boolean alive, boolean begun) {
        static final Site NEW = new Site(AttemptPhase.ABSENT, false, false, true, false);

        Site with(AttemptPhase newPhase) {
            return new Site(newPhase, sent, onItsWay, alive, begun);
        }

        Site post() {
            return new Site(phase, true, true, alive, begun);
        }

        Site begin() {
            return new Site(phase, sent, onItsWay, alive, true);
        }

        Site kill() {
            return new Site(phase, sent, false, false, begun);
        }

        Site deliver() {
            AttemptPhase next = ATTEMPTS.next(phase, AttemptEvent.ARRIVED).target();
            return new Site(next, sent, false, alive, begun);
        }
    }

    /** Is the whole system: the request, how many attempts it made, and the two sites. */
    private record World(RequestState state, Outcome worst, int attempts, Site first, Site second) {
        Site site(int i) {
            return i == 0 ? first : second;
        }

        World with(int i, Site site) {
            return i == 0
                    ? new World(state, worst, attempts, site, second)
                    : new World(state, worst, attempts, first, site);
        }

        World at(int i, UnaryOperator<Site> change) {
            return with(i, change.apply(site(i)));
        }

        int runs() {
            return (first.begun() ? 1 : 0) + (second.begun() ? 1 : 0);
        }
    }

    private static final class Model {
        private final boolean idempotent;
        private final Set<Off> off;

        Model(boolean idempotent, Set<Off> off) {
            this.idempotent = idempotent;
            this.off = off;
        }

        World start() {
            World world = new World(RequestState.RECEIVED, Outcome.NOT_RUN, 0, Site.NEW, Site.NEW);
            return entry(world, p -> p.onAccepted());
        }

        private interface Decision {
            Optional<RequestAction> on(RequestProgress progress);
        }

        private World entry(World world, Decision decision) {
            Outcome worst = off.contains(Off.WORST_OUTCOME) ? Outcome.NOT_RUN : world.worst();
            RequestProgress progress =
                    new RequestProgress(idempotent, false, world.state(), worst, world.attempts());
            Optional<RequestAction> action = decision.on(progress);
            World next =
                    new World(
                            progress.state(),
                            progress.worstOutcome(),
                            progress.attempts(),
                            world.first(),
                            world.second());
            boolean send = action.filter(a -> a == RequestAction.SEND_ATTEMPT).isPresent();
            return send ? next.at(next.attempts() - 1, Site::post) : next;
        }

        Map<String, World> steps(World world) {
            Map<String, World> steps = new LinkedHashMap<>();
            for (int i = 0; i < AGENTS; i++) {
                agentSteps(world, i, steps);
            }
            entrySteps(world, steps);
            return steps;
        }

        private void agentSteps(World world, int i, Map<String, World> steps) {
            Site site = world.site(i);
            if (site.alive() && site.onItsWay()) {
                steps.put("arrive " + i, world.at(i, Site::deliver));
            }
            if (site.alive()) {
                for (AttemptEvent event : EnumSet.allOf(AttemptEvent.class)) {
                    boolean answers =
                            event == AttemptEvent.WHOLE_ANSWER
                                    || event == AttemptEvent.INVALID_ANSWER;
                    boolean refuses = event == AttemptEvent.CONNECTION_REFUSED;
                    boolean possible =
                            event != AttemptEvent.ARRIVED
                                    && event != AttemptEvent.RESOLVE_REQUESTED
                                    && event != AttemptEvent.CANCEL_REQUESTED
                                    && (!answers || site.begun())
                                    && (!refuses || !site.begun());
                    AttemptPhase next = ATTEMPTS.next(site.phase(), event).target();
                    if (possible && next != site.phase()) {
                        steps.put(event + " " + i, world.with(i, site.with(next)));
                    }
                }
                steps.put("kill " + i, world.at(i, Site::kill));
            }
            boolean maySee =
                    site.phase() == AttemptPhase.RUNNING || site.phase() == AttemptPhase.UNKNOWN;
            if (maySee && !site.begun()) {
                steps.put("begin " + i, world.at(i, Site::begin));
            }
        }

        private void entrySteps(World world, Map<String, World> steps) {
            int i = world.attempts() - 1;
            switch (world.state()) {
                case ATTEMPTING -> {
                    steps.put("connection lost", entry(world, p -> p.onEvent(RequestEvent.LOST)));
                    Site site = world.site(i);
                    boolean reported = ATTEMPTS.isTerminal(site.phase()) && !site.onItsWay();
                    if (site.alive() && reported) {
                        steps.put("report", report(world, site.phase()));
                    }
                    if (!site.alive() && site.phase() == AttemptPhase.ABSENT) {
                        steps.put("refused", report(world, AttemptPhase.CANCELLED));
                    }
                }
                case RESOLVING -> resolve(world, i, steps);
                case RETRYING -> {
                    steps.put("give up", entry(world, p -> p.onRetryDecision(false)));
                    if (world.attempts() < AGENTS) {
                        steps.put("retry", entry(world, p -> p.onRetryDecision(true)));
                    }
                }
                default -> {}
            }
        }

        private void resolve(World world, int i, Map<String, World> steps) {
            if (off.contains(Off.RESOLVE_BEFORE_RETRY)) {
                steps.put("guess", report(world, AttemptPhase.CANCELLED));
            }
            steps.put("agent gone", report(world, AttemptPhase.UNKNOWN));
            Site site = world.site(i);
            if (!site.alive()) {
                return;
            }
            AttemptPhase after =
                    ATTEMPTS.next(site.phase(), AttemptEvent.RESOLVE_REQUESTED).target();
            boolean stored = !off.contains(Off.TOMBSTONE) || site.phase() != AttemptPhase.ABSENT;
            World asked = stored ? world.with(i, site.with(after)) : world;
            if (after == AttemptPhase.RUNNING) {
                return;
            }
            steps.put("resolved", report(asked, after));
            steps.put("answer of the question lost", asked);
        }

        private World report(World world, AttemptPhase phase) {
            return entry(
                    world,
                    p ->
                            switch (phase) {
                                case ANSWERED -> p.onEvent(RequestEvent.ANSWERED);
                                case FAILED -> p.onAttemptFailed(Outcome.RAN);
                                case UNKNOWN -> p.onAttemptFailed(Outcome.UNKNOWN);
                                default -> p.onAttemptFailed(Outcome.NOT_RUN);
                            });
        }

        void check(World world) {
            if (!idempotent) {
                assertThat(world.runs()).as("runs of a non-idempotent request").isLessThan(2);
            }
            switch (world.state()) {
                case NOT_RUN -> assertThat(world.runs()).as("runs after 'not run'").isZero();
                case FAILED, ANSWERED -> assertThat(world.runs()).as("runs").isPositive();
                default -> {}
            }
        }

        int walk() {
            return StateSpaceExplorer.explore(start(), this::steps, this::check).size();
        }
    }

    @Nested
    class WithAllMechanisms {
        @Test
        void keepsThePromisesOfRequestsThatMustNotRunTwice() {
            assertThat(new Model(false, Set.of()).walk()).isGreaterThan(100);
        }

        @Test
        void keepsThePromisesOfIdempotentRequests() {
            assertThat(new Model(true, Set.of()).walk()).isGreaterThan(100);
        }
    }

    @Nested
    class WithoutOneMechanism {
        @Test
        void runsALateAttemptThatWasReportedAsNotRun() {
            assertThatThrownBy(() -> new Model(false, Set.of(Off.TOMBSTONE)).walk())
                    .isInstanceOf(AssertionError.class);
        }

        @Test
        void runsTwiceIfItRetriesWithoutAsking() {
            assertThatThrownBy(() -> new Model(false, Set.of(Off.RESOLVE_BEFORE_RETRY)).walk())
                    .isInstanceOf(AssertionError.class);
        }

        @Test
        void deniesAnEarlierRunIfItForgetsTheWorstOutcome() {
            assertThatThrownBy(() -> new Model(true, Set.of(Off.WORST_OUTCOME)).walk())
                    .isInstanceOf(AssertionError.class);
        }
    }
}
