package org.fescueloom.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ZoneGateTest {
    private static final ConfigurationDocument DOCUMENT =
            new ConfigurationDocument(
                    null,
                    null,
                    List.of(
                            new Zone("harbor-shed", null, ZoneState.IN, null),
                            new Zone("north-yard", null, ZoneState.OUT, null)));

    private static ZoneGate gate(FreshnessRule rule, long confirmedAt, long outageAt) {
        ConfigurationView view = new ConfigurationView(1, DOCUMENT, confirmedAt, outageAt);
        return new ZoneGate(() -> view, rule, ZoneGate.MAX_VIEW_AGE_MILLIS);
    }

    @Nested
    class FreshView {
        @Test
        void allowsAZoneInServiceAndRefusesOthers() {
            ZoneGate gate = gate(FreshnessRule.STRICT, 1_000, ConfigurationView.NEVER);
            assertThat(gate.refusal("harbor-shed", 4_000)).isEmpty();
            assertThat(gate.refusal("north-yard", 4_000)).contains(FailureType.ZONE_OUT);
            assertThat(gate.refusal("nowhere", 4_000)).contains(FailureType.ZONE_OUT);
            assertThatThrownBy(() -> gate.check("north-yard", 4_000))
                    .isInstanceOf(SchedulerException.class);
        }
    }

    @Nested
    class StaleView {
        @Test
        void refusesAfterTheLimitAndBeforeTheFirstConfirmation() {
            assertThat(
                            gate(FreshnessRule.STRICT, 1_000, ConfigurationView.NEVER)
                                    .refusal("harbor-shed", 4_001))
                    .contains(FailureType.ZONE_VIEW_STALE);
            assertThat(
                            new ZoneGate(() -> ConfigurationView.NONE)
                                    .refusal("harbor-shed", Long.MAX_VALUE / 2))
                    .contains(FailureType.ZONE_VIEW_STALE);
        }

        @Test
        void allowsStartsInAnOutageOnlyWithTheException() {
            assertThat(gate(FreshnessRule.STRICT, 1_000, 9_000).refusal("harbor-shed", 10_000))
                    .contains(FailureType.ZONE_VIEW_STALE);
            ZoneGate lenient = gate(FreshnessRule.OUTAGE_EXCEPTION, 1_000, 9_000);
            assertThat(lenient.refusal("harbor-shed", 12_000)).isEmpty();
            assertThat(lenient.refusal("harbor-shed", 12_001))
                    .contains(FailureType.ZONE_VIEW_STALE);
            assertThat(lenient.refusal("north-yard", 12_000)).contains(FailureType.ZONE_OUT);
        }
    }
}
