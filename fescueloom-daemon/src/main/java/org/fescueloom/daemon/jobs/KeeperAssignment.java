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

/**
 * Decides for which gangs a process acts as lease keeper, that is, renews their leases and stops
 * them if needed. Remembers the decisions of an agent until the live agents change.
 */
public final class KeeperAssignment implements Predicate<GangPlaced> {
    /**
     * The number of remembered gang attempts at which all of them are dropped, which bounds the
     * memory.
     */
    private static final int MAX_REMEMBERED_ATTEMPTS = 4_096;

    private final String member;
    private final boolean onEntry;
    private final Supplier<List<KeeperCandidate>> candidates;
    private final Map<String, Boolean> selectedByAttempt = new ConcurrentHashMap<>();
    private volatile List<KeeperCandidate> selectionCandidates = List.of();

    private KeeperAssignment(
            String member, boolean onEntry, Supplier<List<KeeperCandidate>> candidates) {
        this.member = Objects.requireNonNull(member, "member");
        this.onEntry = onEntry;
        this.candidates = Objects.requireNonNull(candidates, "candidates");
    }

    /**
     * Creates the assignment of an agent: the gangs for which {@link KeeperSelection} selects the
     * agent, and all gangs as long as the agent knows no live agents.
     *
     * @param member the identifier of the agent, not null
     * @param candidates gives the live agents, not null
     * @return the assignment, never null
     */
    public static KeeperAssignment ofAgent(
            String member, Supplier<List<KeeperCandidate>> candidates) {
        return new KeeperAssignment(member, false, candidates);
    }

    /**
     * Creates the assignment of an entry: all gangs if fewer agents are alive than a gang has
     * keepers, otherwise none.
     *
     * @param member the identifier of the entry, not null
     * @param candidates gives the live agents, not null
     * @return the assignment, never null
     */
    public static KeeperAssignment ofEntry(
            String member, Supplier<List<KeeperCandidate>> candidates) {
        return new KeeperAssignment(member, true, candidates);
    }

    @Override
    public boolean test(GangPlaced gang) {
        List<KeeperCandidate> liveAgents = candidates.get();
        if (onEntry) {
            return liveAgents.size() < KeeperSelection.KEEPERS;
        }
        if (liveAgents.isEmpty()) {
            return true;
        }
        if (!liveAgents.equals(selectionCandidates)
                || selectedByAttempt.size() >= MAX_REMEMBERED_ATTEMPTS) {
            selectedByAttempt.clear();
            selectionCandidates = liveAgents;
        }
        return selectedByAttempt.computeIfAbsent(
                gang.attempt(),
                attempt -> KeeperSelection.select(attempt, liveAgents).contains(member));
    }
}
