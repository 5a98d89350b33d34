package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds the runs that an upstream listed in its last answer to a poll, and those that it has
 * started since. Confined to the event loop of its owner.
 */
final class ListedRuns {
    private final RecentStarts recentStarts = new RecentStarts();

    /** The highest number among the runs of a task in {@link #running}, by task. */
    private final Map<String, Integer> runningNumbers = new HashMap<>();

    private List<RunStatus> running = new ArrayList<>();
    private List<EndedRun> ended = List.of();
    private boolean allEndsListed;

    /** Returns the runs that exist. */
    List<RunStatus> running() {
        return running;
    }

    /** Returns the ended runs with the lowest numbers that are not acknowledged. */
    List<EndedRun> ended() {
        return ended;
    }

    /** Tests whether {@link #ended} holds all ended runs that are not acknowledged. */
    boolean allEndsListed() {
        return allEndsListed;
    }

    /** Tests whether a run exists or is among the listed ends. */
    boolean contain(String task, int run) {
        return RunLists.contain(running, ended, task, run);
    }

    /** Returns the identifiers of the runs that exist or are among the listed ends. */
    Set<String> runIds() {
        return RunLists.runIds(running, ended);
    }

    /**
     * Returns the number up to which the upstream may forget the ends that it has listed; 0 if
     * none. Each incarnation numbers its ends anew, so a number that is no longer needed could make
     * the next one forget ends that nobody has seen.
     *
     * @param acknowledged the number up to which all ends are stored
     */
    long listedEndNumber(long acknowledged) {
        return ended.stream()
                .mapToLong(EndedRun::number)
                .filter(number -> number <= acknowledged)
                .max()
                .orElse(0);
    }

    /**
     * Adds a started run unless a run of its task is listed that is not lower.
     *
     * @param order the start order that the upstream has executed
     * @param lastPoll the number of the last poll that was sent
     */
    void addStarted(StartOrder order, long lastPoll) {
        if (runningNumbers.getOrDefault(order.task(), 0) < order.run()) {
            // Full speed and no load are assumed until the next poll.
            RunStatus started =
                    new RunStatus(order.task(), order.run(), order.checkpoint(), 100, 0);
            recentStarts.add(started, lastPoll);
            running.add(started);
            runningNumbers.put(order.task(), order.run());
        }
    }

    /**
     * Replaces the runs by those of an answer to a poll, and returns whether other runs exist, or
     * other ends are listed, than before.
     *
     * @param poll the number of the poll
     */
    boolean replace(UpstreamSnapshot snapshot, long poll) {
        List<RunStatus> existing = recentStarts.addTo(snapshot, poll);
        boolean changed =
                !RunLists.endNumbers(snapshot.ended()).equals(RunLists.endNumbers(ended))
                        || !RunLists.runIds(existing).equals(RunLists.runIds(running));
        running = existing;
        runningNumbers.clear();
        running.forEach(status -> runningNumbers.merge(status.task(), status.run(), Math::max));
        ended = snapshot.ended();
        allEndsListed = snapshot.allEndsListed();
        return changed;
    }

    /** Forgets all runs, because their incarnation has ended. */
    void clear() {
        recentStarts.clear();
        runningNumbers.clear();
        running = new ArrayList<>();
        ended = List.of();
        allEndsListed = false;
    }
}
