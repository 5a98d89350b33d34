package org.fescueloom.chart;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ChartDefinitionTest {
    private static List<ChartFaultType> faultsOf(String text) {
        byte[] bytes = text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        return ChartChecker.check(ChartDefinition.parse("door", bytes)).stream()
                .map(ChartFault::type)
                .toList();
    }

    private static String chartJson(String initial, String events, String states) {
        return "{'name':'door','initial':'%s','events':[%s],'states':{%s}}"
                .formatted(initial, events, states);
    }

    @Nested
    class BundledCharts {
        @ParameterizedTest
        @ValueSource(strings = {"job", "gang", "request", "attempt", "upstream", "worker", "zone"})
        void loadsWithoutFaults(String name) {
            ChartDefinition chart = ChartDefinition.load(name);
            assertThat(chart.name()).isEqualTo(name);
            assertThat(chart.states().values())
                    .allSatisfy(s -> assertThat(s.summary()).isNotEmpty());
        }

        @ParameterizedTest
        @ValueSource(strings = {"job", "gang", "request", "attempt"})
        void reachesATerminalStateFromEveryState(String name) {
            ChartDefinition chart = ChartDefinition.load(name);
            for (String start : chart.states().keySet()) {
                assertThat(
                                StateSpaceExplorer.explore(
                                        start, s -> targets(chart.states().get(s)), s -> {}))
                        .anyMatch(s -> chart.states().get(s).terminal());
            }
        }

        private static Map<String, String> targets(ChartState state) {
            return state.events().entrySet().stream()
                    .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().target()));
        }
    }

    @Nested
    class Faults {
        @Test
        void acceptsAChartWithoutTerminalStates() {
            String states =
                    "'open':{'events':{'shut':{'target':'closed'}},'ignored':['lift']},"
                            + "'closed':{'events':{'lift':{'target':'open'}},'ignored':['shut']}";
            assertThat(faultsOf(chartJson("open", "'shut','lift'", states))).isEmpty();
        }

        @Test
        void reportsUnknownStatesAndEvents() {
            String states = "'open':{'events':{'shut':{'target':'ajar'},'kick':{'target':'open'}}}";
            assertThat(faultsOf(chartJson("closed", "'shut'", states)))
                    .contains(ChartFaultType.UNKNOWN_STATE, ChartFaultType.UNKNOWN_EVENT)
                    .filteredOn(t -> t == ChartFaultType.UNKNOWN_STATE)
                    .hasSize(2);
        }

        @Test
        void reportsUnhandledUnusedAndContradictoryEvents() {
            String states = "'open':{'events':{'a':{'target':'open'}},'ignored':['a','c']}";
            assertThat(faultsOf(chartJson("open", "'a','b','c'", states)))
                    .containsExactlyInAnyOrder(
                            ChartFaultType.CONTRADICTORY_EVENT,
                            ChartFaultType.UNHANDLED_EVENT,
                            ChartFaultType.UNUSED_EVENT,
                            ChartFaultType.UNUSED_EVENT);
        }

        @Test
        void reportsUnreachableStatesAndDeadEnds() {
            String states =
                    "'open':{'events':{'a':{'target':'open'}},'ignored':[]},"
                            + "'gone':{'terminal':true}";
            assertThat(faultsOf(chartJson("open", "'a'", states)))
                    .containsExactlyInAnyOrder(
                            ChartFaultType.DEAD_END, ChartFaultType.UNREACHABLE_STATE);
        }

        @Test
        void reportsEventsOfATerminalState() {
            String states =
                    "'open':{'events':{'a':{'target':'gone'}}},"
                            + "'gone':{'terminal':true,'ignored':['a']}";
            assertThat(faultsOf(chartJson("open", "'a'", states)))
                    .containsExactly(ChartFaultType.EVENTS_IN_TERMINAL_STATE);
        }

        @Test
        void reportsMissingAndMalformedFiles() {
            assertThatThrownBy(() -> ChartDefinition.load("absent"))
                    .isInstanceOfSatisfying(
                            InvalidChartException.class,
                            e ->
                                    assertThat(e.faults())
                                            .extracting(ChartFault::type)
                                            .containsExactly(ChartFaultType.MISSING_FILE));
            assertThatThrownBy(() -> faultsOf("{'name':'door','initial':'open','weight':1}"))
                    .isInstanceOf(InvalidChartException.class)
                    .hasMessageContaining("weight");
        }
    }
}
