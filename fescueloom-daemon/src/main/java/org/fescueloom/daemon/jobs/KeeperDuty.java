package org.fescueloom.daemon.jobs;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.fescueloom.gang.KeeperSelection;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.wire.KeeperCandidate;

/** Tells which gangs a process keeps; remembers the choice until the live agents change. */
public final class KeeperDuty implements Predicate<GangPlaced> {
    private static final int MAX_REMEMBERED = 4_096;

    private final String member;
    private final boolean entry;
    private final Supplier<List<KeeperCandidate>> candidates;
    private final Map<String, Boolean> chosen = new ConcurrentHashMap<>();
    private volatile List<KeeperCandidate> chosenFrom = List.of();

    private KeeperDuty(String member, boolean entry, Supplier<List<KeeperCandidate>> candidates) {
        this.member = Objects.requireNonNull(member, "member");
        this.entry = entry;
        this.candidates = Objects.requireNonNull(candidates, "candidates");
    }

    /**
     * Creates the duty of an agent: the gangs that it is chosen for, and all while it knows no
     * agents.
     *
     * @param member the identifier of the agent, not null
     * @param candidates gives the live agents, not null
     * @return the duty, never null
     */
    public static KeeperDuty ofAgent(String member, Supplier<List<KeeperCandidate>> candidates) {
        return new KeeperDuty(member, false, candidates);
    }

    /**
     * Creates the duty of an entry: all gangs while fewer agents live than a gang has keepers.
     *
     * @param member the identifier of the entry, not null
     * @param candidates gives the live agents, not null
     * @return the duty, never null
     */
    public static KeeperDuty ofEntry(String member, Supplier<List<KeeperCandidate>> candidates) {
        return new KeeperDuty(member, true, candidates);
    }

    @Override
    public boolean test(GangPlaced gang) {
        List<KeeperCandidate> now = candidates.get();
        if (entry) {
            return now.size() < KeeperSelection.KEEPERS;
        }
        if (now.isEmpty()) {
            return true;
        }
        if (!now.equals(chosenFrom) || chosen.size() >= MAX_REMEMBERED) {
            chosen.clear();
            chosenFrom = now;
        }
        return chosen.computeIfAbsent(
                gang.attempt(), a -> KeeperSelection.select(a, now).contains(member));
    }
}
