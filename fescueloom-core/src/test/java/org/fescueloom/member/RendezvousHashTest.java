package org.fescueloom.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RendezvousHashTest {
    private static List<String> members(int count) {
        return IntStream.range(0, count).mapToObj(i -> "agent-" + i).toList();
    }

    @Property(tries = 200, seed = "7")
    void movesOnlyTheKeysOfTheMemberThatLeft(
            @ForAll String key, @ForAll @IntRange(min = 2, max = 40) int count) {
        List<String> all = members(count);
        List<String> chosen = RendezvousHash.top(key, all, 2);
        List<String> rest = new ArrayList<>(all);
        String gone = all.get(Math.floorMod(key.hashCode(), count));
        rest.remove(gone);
        List<String> again = RendezvousHash.top(key, rest, 2);
        List<String> stay = new ArrayList<>(chosen);
        stay.remove(gone);
        assertThat(again).startsWith(stay.toArray(new String[0]));
    }

    @Test
    void spreadsFirstAndSecondChoicesEvenly() {
        Map<String, Integer> first = new HashMap<>();
        Map<String, Integer> afterAgentZero = new HashMap<>();
        for (int i = 0; i < 10_000; i++) {
            List<String> chosen = RendezvousHash.top("job-" + i, members(10), 2);
            first.merge(chosen.get(0), 1, Integer::sum);
            if (chosen.get(0).equals("agent-0")) {
                afterAgentZero.merge(chosen.get(1), 1, Integer::sum);
            }
        }
        assertThat(first.values()).allMatch(n -> n > 850 && n < 1_150);
        assertThat(afterAgentZero).hasSize(9);
    }
}
