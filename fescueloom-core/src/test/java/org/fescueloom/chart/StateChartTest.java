package org.fescueloom.chart;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class StateChartTest {
    private enum ZonePhase {
        IN,
        LEAVING,
        OUT,
        RETURNING
    }

    private enum ZoneEvent {
        TAKEN_OUT,
        BROUGHT_IN,
        CONFIRMED_EVERYWHERE
    }

    private enum ZoneAction {
        STOP_STARTS,
        ALLOW_STARTS,
        REPORT_IN_FORCE
    }

    private enum UpstreamEvent {
        REGISTERED,
        DRAINED
    }

    @Test
    void returnsTheTargetStateAndTheAction() {
        StateChart<ZonePhase, ZoneEvent, ZoneAction> chart =
                StateChart.load("zone", ZonePhase.class, ZoneEvent.class, ZoneAction.class);
        assertThat(chart.initial()).isEqualTo(ZonePhase.IN);
        Transition<ZonePhase, ZoneAction> out = chart.next(chart.initial(), ZoneEvent.TAKEN_OUT);
        assertThat(out.target()).isEqualTo(ZonePhase.LEAVING);
        assertThat(out.action()).contains(ZoneAction.STOP_STARTS);
        assertThat(out.ignored()).isFalse();
    }

    @Test
    void staysInTheStateOnAnIgnoredEvent() {
        StateChart<ZonePhase, ZoneEvent, ZoneAction> chart =
                StateChart.load("zone", ZonePhase.class, ZoneEvent.class, ZoneAction.class);
        Transition<ZonePhase, ZoneAction> stay = chart.next(ZonePhase.IN, ZoneEvent.BROUGHT_IN);
        assertThat(stay.target()).isEqualTo(ZonePhase.IN);
        assertThat(stay.action()).isEmpty();
        assertThat(stay.ignored()).isTrue();
        assertThat(chart.isTerminal(ZonePhase.OUT)).isFalse();
    }

    @Test
    void reportsDifferencesBetweenChartAndEnums() {
        assertThatThrownBy(
                        () ->
                                StateChart.load(
                                        "zone",
                                        ZonePhase.class,
                                        UpstreamEvent.class,
                                        ZoneAction.class))
                .isInstanceOfSatisfying(
                        InvalidChartException.class,
                        e ->
                                assertThat(e.faults())
                                        .extracting(ChartFault::path)
                                        .containsExactlyInAnyOrder(
                                                "events.registered",
                                                "events.drained",
                                                "events.taken-out",
                                                "events.brought-in",
                                                "events.confirmed-everywhere"));
    }
}
