package org.fescueloom.gang;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.fescueloom.member.RendezvousHash;
import org.fescueloom.wire.KeeperCandidate;

/**
 * Chooses the lease keepers of a gang: the agents that renew its leases.
 *
 * <p>The keepers of one gang are in different availability zones if there are several. After the
 * loss of a zone, a keeper in another zone still knows the gang and renews the leases before they
 * lapse.
 */
public final class KeeperSelection {
    /** The number of keepers of a gang, if there are as many agents. */
    public static final int KEEPERS = 2;

    private KeeperSelection() {}

    /**
     * Chooses the keepers of a gang attempt.
     *
     * @param attempt the identifier of the gang attempt, not null
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
