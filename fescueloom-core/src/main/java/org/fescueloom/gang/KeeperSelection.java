package org.fescueloom.gang;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.fescueloom.member.RendezvousHash;
import org.fescueloom.wire.KeeperCandidate;

/**
 * Chooses the agents that keep the leases of a gang.
 *
 * <p>The keepers of one gang stand in different availability zones where there are several, so that
 * the loss of a zone leaves one that knows the gang and renews before the leases lapse.
 */
public final class KeeperSelection {
    /** How many keepers a gang has, if there are as many agents. */
    public static final int KEEPERS = 2;

    private KeeperSelection() {}

    /**
     * Chooses the keepers of a gang attempt.
     *
     * @param attempt the gang attempt, not null
     * @param candidates the live agents, not null
     * @return the chosen agents, at most {@link #KEEPERS}; empty if there are no agents
     */
    public static List<String> select(String attempt, List<KeeperCandidate> candidates) {
        Objects.requireNonNull(attempt, "attempt");
        List<KeeperCandidate> order =
                RendezvousHash.top(attempt, candidates, KeeperCandidate::member, candidates.size());
        List<String> chosen = new ArrayList<>();
        if (order.isEmpty()) {
            return chosen;
        }
        KeeperCandidate first = order.get(0);
        chosen.add(first.member());
        Optional<KeeperCandidate> second =
                order.stream()
                        .skip(1)
                        .filter(c -> !c.zone().equals(first.zone()))
                        .findFirst()
                        .or(() -> order.stream().skip(1).findFirst());
        second.ifPresent(c -> chosen.add(c.member()));
        return chosen;
    }
}
