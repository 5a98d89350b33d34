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
 * Explores every reachable combination of the states of a request at its entry and of two attempts
 * at two agents, with each fault at each step: messages delayed or lost, connections cut, agents
 * killed, upstreams killed.
 */
class RequestStateSpaceTest {
    private static final StateChart<AttemptPhase, AttemptEvent, AttemptAction> ATTEMPTS =
            StateChart.load("attempt", AttemptPhase.class, AttemptEvent.class, AttemptAction.class);
    private static final int AGENTS = 2;

    /**
     * Lists the mechanisms that an exploration can disable, to show that the exploration then finds
     * a violation of the invariants.
     */
    private enum DisabledMechanism {
        /** The agent remembers the cancellation of an attempt that has not arrived. */
        TOMBSTONE,
        /** The entry obtains the outcome of a lost attempt before it sends another attempt. */
        RESOLVE_BEFORE_RETRY,
        /** The entry remembers the worst outcome of the attempts so far. */
        WORST_OUTCOME
    }

    /**
     * Represents an attempt at one agent; an attempt in transit may arrive at any time or never.
     */
    private record AttemptAtAgent(
            AttemptPhase phase, boolean sent, boolean inTransit, boolean alive, boolean executed) {
        static final AttemptAtAgent NEW =
                new AttemptAtAgent(AttemptPhase.ABSENT, false, false, true, false);

        AttemptAtAgent with(AttemptPhase newPhase) {
            return new AttemptAtAgent(newPhase, sent, inTransit, alive, executed);
        }

        AttemptAtAgent send() {
            return new AttemptAtAgent(phase, true, true, alive, executed);
        }

        AttemptAtAgent execute() {
            return new AttemptAtAgent(phase, sent, inTransit, alive, true);
        }

        AttemptAtAgent kill() {
            return new AttemptAtAgent(phase, sent, false, false, executed);
        }

        AttemptAtAgent deliver() {
            AttemptPhase next = ATTEMPTS.next(phase, AttemptEvent.ARRIVED).target();
            return new AttemptAtAgent(next, sent, false, alive, executed);
        }
    }

    /**
     * Represents the whole system: the state of the request, the worst outcome so far, the number
     * of attempts made, and the two attempts.
     */
    private record SystemState(
            RequestState state,
            Outcome worst,
            int attempts,
            AttemptAtAgent first,
            AttemptAtAgent second) {
        AttemptAtAgent attempt(int i) {
            return i == 0 ? first : second;
        }

        SystemState with(int i, AttemptAtAgent attempt) {
            return i == 0
                    ? new SystemState(state, worst, attempts, attempt, second)
                    : new SystemState(state, worst, attempts, first, attempt);
        }

        SystemState update(int i, UnaryOperator<AttemptAtAgent> change) {
            return with(i, change.apply(attempt(i)));
        }

        int executions() {
            return (first.executed() ? 1 : 0) + (second.executed() ? 1 : 0);
        }
    }

    private static final class Model {
        private final boolean idempotent;
        private final Set<DisabledMechanism> disabled;

        Model(boolean idempotent, Set<DisabledMechanism> disabled) {
            this.idempotent = idempotent;
            this.disabled = disabled;
        }

        SystemState start() {
            SystemState system =
                    new SystemState(
                            RequestState.RECEIVED,
                            Outcome.NOT_RUN,
                            0,
                            AttemptAtAgent.NEW,
                            AttemptAtAgent.NEW);
            return applyAtEntry(system, p -> p.onAccepted());
        }

        private interface EntryStep {
            Optional<RequestAction> apply(RequestProgress progress);
        }

        private SystemState applyAtEntry(SystemState system, EntryStep step) {
            Outcome worst =
                    disabled.contains(DisabledMechanism.WORST_OUTCOME)
                            ? Outcome.NOT_RUN
                            : system.worst();
            RequestProgress progress =
                    new RequestProgress(
                            idempotent, false, system.state(), worst, system.attempts());
            Optional<RequestAction> action = step.apply(progress);
            SystemState next =
                    new SystemState(
                            progress.state(),
                            progress.worstOutcome(),
                            progress.attempts(),
                            system.first(),
                            system.second());
            boolean send = action.filter(a -> a == RequestAction.SEND_ATTEMPT).isPresent();
            return send ? next.update(next.attempts() - 1, AttemptAtAgent::send) : next;
        }

        Map<String, SystemState> steps(SystemState system) {
            Map<String, SystemState> steps = new LinkedHashMap<>();
            for (int i = 0; i < AGENTS; i++) {
                agentSteps(system, i, steps);
            }
            entrySteps(system, steps);
            return steps;
        }

        private void agentSteps(SystemState system, int i, Map<String, SystemState> steps) {
            AttemptAtAgent attempt = system.attempt(i);
            if (attempt.alive() && attempt.inTransit()) {
                steps.put("arrive " + i, system.update(i, AttemptAtAgent::deliver));
            }
            if (attempt.alive()) {
                for (AttemptEvent event : EnumSet.allOf(AttemptEvent.class)) {
                    boolean answers =
                            event == AttemptEvent.WHOLE_ANSWER
                                    || event == AttemptEvent.INVALID_ANSWER;
                    boolean refuses = event == AttemptEvent.CONNECTION_REFUSED;
                    boolean possible =
                            event != AttemptEvent.ARRIVED
                                    && event != AttemptEvent.RESOLVE_REQUESTED
                                    && event != AttemptEvent.CANCEL_REQUESTED
                                    && (!answers || attempt.executed())
                                    && (!refuses || !attempt.executed());
                    AttemptPhase next = ATTEMPTS.next(attempt.phase(), event).target();
                    if (possible && next != attempt.phase()) {
                        steps.put(event + " " + i, system.with(i, attempt.with(next)));
                    }
                }
                steps.put("kill " + i, system.update(i, AttemptAtAgent::kill));
            }
            boolean mayExecute =
                    attempt.phase() == AttemptPhase.RUNNING
                            || attempt.phase() == AttemptPhase.UNKNOWN;
            if (mayExecute && !attempt.executed()) {
                steps.put("execute " + i, system.update(i, AttemptAtAgent::execute));
            }
        }

        private void entrySteps(SystemState system, Map<String, SystemState> steps) {
            int i = system.attempts() - 1;
            switch (system.state()) {
                case ATTEMPTING -> {
                    steps.put(
                            "connection lost",
                            applyAtEntry(system, p -> p.onEvent(RequestEvent.LOST)));
                    AttemptAtAgent attempt = system.attempt(i);
                    boolean reported = ATTEMPTS.isTerminal(attempt.phase()) && !attempt.inTransit();
                    if (attempt.alive() && reported) {
                        steps.put("report", report(system, attempt.phase()));
                    }
                    if (!attempt.alive() && attempt.phase() == AttemptPhase.ABSENT) {
                        steps.put("refused", report(system, AttemptPhase.CANCELLED));
                    }
                }
                case RESOLVING -> resolve(system, i, steps);
                case RETRYING -> {
                    steps.put("give up", applyAtEntry(system, p -> p.onRetryDecision(false)));
                    if (system.attempts() < AGENTS) {
                        steps.put("retry", applyAtEntry(system, p -> p.onRetryDecision(true)));
                    }
                }
                default -> {}
            }
        }

        private void resolve(SystemState system, int i, Map<String, SystemState> steps) {
            if (disabled.contains(DisabledMechanism.RESOLVE_BEFORE_RETRY)) {
                steps.put("guess", report(system, AttemptPhase.CANCELLED));
            }
            steps.put("agent gone", report(system, AttemptPhase.UNKNOWN));
            AttemptAtAgent attempt = system.attempt(i);
            if (!attempt.alive()) {
                return;
            }
            AttemptPhase after =
                    ATTEMPTS.next(attempt.phase(), AttemptEvent.RESOLVE_REQUESTED).target();
            boolean stored =
                    !disabled.contains(DisabledMechanism.TOMBSTONE)
                            || attempt.phase() != AttemptPhase.ABSENT;
            SystemState asked = stored ? system.with(i, attempt.with(after)) : system;
            if (after == AttemptPhase.RUNNING) {
                return;
            }
            steps.put("resolved", report(asked, after));
            steps.put("response of the agent lost", asked);
        }

        private SystemState report(SystemState system, AttemptPhase phase) {
            return applyAtEntry(
                    system,
                    p ->
                            switch (phase) {
                                case ANSWERED -> p.onEvent(RequestEvent.ANSWERED);
                                case FAILED -> p.onAttemptFailed(Outcome.RAN);
                                case UNKNOWN -> p.onAttemptFailed(Outcome.UNKNOWN);
                                default -> p.onAttemptFailed(Outcome.NOT_RUN);
                            });
        }

        void check(SystemState system) {
            if (!idempotent) {
                assertThat(system.executions())
                        .as("executions of a non-idempotent request")
                        .isLessThan(2);
            }
            switch (system.state()) {
                case NOT_RUN ->
                        assertThat(system.executions()).as("executions after 'not run'").isZero();
                case FAILED, ANSWERED -> assertThat(system.executions()).as("runs").isPositive();
                default -> {}
            }
        }

        int explore() {
            return StateSpaceExplorer.explore(start(), this::steps, this::check).size();
        }
    }

    @Nested
    class WithAllMechanisms {
        @Test
        void keepsTheInvariantsOfNonIdempotentRequests() {
            assertThat(new Model(false, Set.of()).explore()).isGreaterThan(100);
        }

        @Test
        void keepsTheInvariantsOfIdempotentRequests() {
            assertThat(new Model(true, Set.of()).explore()).isGreaterThan(100);
        }
    }

    @Nested
    class WithoutOneMechanism {
        @Test
        void runsADelayedAttemptReportedAsNotRunWithoutTombstones() {
            assertThatThrownBy(
                            () -> new Model(false, Set.of(DisabledMechanism.TOMBSTONE)).explore())
                    .isInstanceOf(AssertionError.class);
        }

        @Test
        void runsTwiceWithoutResolvingBeforeARetry() {
            assertThatThrownBy(
                            () ->
                                    new Model(false, Set.of(DisabledMechanism.RESOLVE_BEFORE_RETRY))
                                            .explore())
                    .isInstanceOf(AssertionError.class);
        }

        @Test
        void deniesAnEarlierExecutionWithoutTheWorstOutcome() {
            assertThatThrownBy(
                            () ->
                                    new Model(true, Set.of(DisabledMechanism.WORST_OUTCOME))
                                            .explore())
                    .isInstanceOf(AssertionError.class);
        }
    }
}
