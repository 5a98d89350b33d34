package org.fescueloom.gang;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.fescueloom.wire.KeeperCandidate;
import org.junit.jupiter.api.Test;

class KeeperSelectionTest {
    private static List<KeeperCandidate> agents(int count, int zones) {
        return IntStream.range(0, count)
                .mapToObj(i -> new KeeperCandidate("agent-" + i, "zone-" + i % zones))
                .toList();
    }

    @Test
    void choosesTwoAgentsInDifferentZones() {
        List<KeeperCandidate> agents = agents(12, 3);
        for (int gang = 0; gang < 200; gang++) {
            List<String> chosen = KeeperSelection.select("gang-" + gang, agents);
            assertThat(chosen).hasSize(2).doesNotHaveDuplicates();
            int first = Integer.parseInt(chosen.get(0).substring(6));
            int second = Integer.parseInt(chosen.get(1).substring(6));
            assertThat(first % 3).isNotEqualTo(second % 3);
        }
    }

    @Test
    void choosesFewerAgentsOrAgentsOfOneZoneIfThereAreNoOthers() {
        assertThat(KeeperSelection.select("g", List.of())).isEmpty();
        assertThat(KeeperSelection.select("g", agents(1, 1))).containsExactly("agent-0");
        assertThat(KeeperSelection.select("g", agents(5, 1))).hasSize(2);
    }

    @Test
    void spreadsGangsEvenlyAndChangesOnlyTheKeepersOfGangsOfALostAgent() {
        List<KeeperCandidate> before = agents(12, 3);
        List<KeeperCandidate> after = new ArrayList<>(before);
        after.remove(4);
        Map<String, Integer> load = new HashMap<>();
        for (int gang = 0; gang < 600; gang++) {
            List<String> old = KeeperSelection.select("gang-" + gang, before);
            List<String> now = KeeperSelection.select("gang-" + gang, after);
            if (!old.contains("agent-4")) {
                assertThat(now).isEqualTo(old);
            }
            old.forEach(a -> load.merge(a, 1, Integer::sum));
        }
        // 600 gangs with two keepers each, on 12 agents, are 100 gangs for each agent on average.
        assertThat(load.values()).allMatch(gangs -> gangs > 50 && gangs < 150);
    }
}
