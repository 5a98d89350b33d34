package org.fescueloom.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.wire.AttemptState;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AttemptRegistryTest {
    private static final long SECOND = 1_000_000_000L;

    private static AttemptId id(int sequence) {
        return new AttemptId("entry-1", 7, sequence);
    }

    private static AttemptAnswer answer(int bytes) {
        return new AttemptAnswer(200, null, new byte[bytes]);
    }

    /** Represents an operation on one attempt, a number of seconds after the previous operation. */
    record Operation(Kind kind, int sequence, int seconds) {
        enum Kind {
            ARRIVE,
            START,
            ANSWER,
            LOSE,
            RESOLVE
        }
    }

    @Provide
    Arbitrary<List<Operation>> operations() {
        return Combinators.combine(
                        Arbitraries.of(Operation.Kind.class),
                        Arbitraries.integers().between(0, 7),
                        Arbitraries.integers().between(0, 9))
                .as(Operation::new)
                .list()
                .ofMaxSize(80);
    }

    /**
     * Keeps a complete record of all attempts and checks that an attempt reported as not run never
     * starts.
     */
    @Property(seed = "41", tries = 2_000)
    void neverStartsAnAttemptReportedAsNotRun(@ForAll("operations") List<Operation> operations) {
        AttemptRegistry registry = new AttemptRegistry(20 * SECOND, 64, 5);
        Set<AttemptId> started = new HashSet<>();
        Set<AttemptId> reportedNotRun = new HashSet<>();
        long now = SECOND;
        for (Operation operation : operations) {
            now += operation.seconds() * SECOND;
            AttemptId id = id(operation.sequence());
            registry.expire(now);
            switch (operation.kind()) {
                case ARRIVE -> arrive(registry, id);
                case START -> {
                    if (registry.start(id, now)) {
                        assertThat(started.add(id)).as("first start of %s", id).isTrue();
                        assertThat(reportedNotRun).doesNotContain(id);
                    }
                }
                case ANSWER -> registry.answer(id, answer(30), now);
                case LOSE -> registry.fail(id, FailureType.OUTCOME_UNKNOWN, now);
                default -> {
                    if (registry.resolve(id, now).state() == AttemptState.CANCELLED) {
                        assertThat(started).doesNotContain(id);
                        reportedNotRun.add(id);
                    }
                }
            }
        }
    }

    private static void arrive(AttemptRegistry registry, AttemptId id) {
        try {
            registry.accept(id);
        } catch (SchedulerException expected) {
            assertThat(expected.type())
                    .isIn(FailureType.ATTEMPT_CANCELLED, FailureType.OUTCOME_UNKNOWN);
        }
    }

    @Nested
    class Resolve {
        private final AttemptRegistry registry = new AttemptRegistry(10 * SECOND, 100, 100);

        @Test
        void preventsAnAttemptThatHasNotArrivedFromStarting() {
            assertThat(registry.resolve(id(1), 0).state()).isEqualTo(AttemptState.CANCELLED);
            assertThatThrownBy(() -> registry.accept(id(1)))
                    .isInstanceOfSatisfying(
                            SchedulerException.class,
                            e -> assertThat(e.type()).isEqualTo(FailureType.ATTEMPT_CANCELLED));
        }

        @Test
        void reportsAForgottenAttemptAsUnknown() {
            registry.accept(id(5));
            registry.start(id(5), 0);
            registry.answer(id(5), answer(1), 0);
            registry.expire(11 * SECOND);
            assertThat(registry.resolve(id(5), 11 * SECOND).state())
                    .isEqualTo(AttemptState.UNKNOWN);
            assertThatThrownBy(() -> registry.accept(id(4))).isInstanceOf(SchedulerException.class);
        }

        @Test
        void returnsTheResponseUntilNewerOnesDisplaceIt() {
            for (int i = 0; i < 3; i++) {
                registry.accept(id(i));
                registry.start(id(i), 0);
                registry.answer(id(i), answer(40), 0);
            }
            assertThat(registry.answerBytes()).isLessThanOrEqualTo(100);
            assertThat(registry.resolve(id(0), 0).state()).isEqualTo(AttemptState.UNKNOWN);
            assertThat(registry.resolve(id(2), 0).answer().body()).hasSize(40);
        }
    }
}
