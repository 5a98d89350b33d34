package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Keeps the runs that an upstream has just started, until it answers a poll that was sent later.
 * The answer to an earlier poll may have been written before the start.
 */
final class RecentStarts {
    private final List<RecentStart> starts = new ArrayList<>();

    private record RecentStart(RunStatus status, long lastPoll) {}

    /**
     * Adds a run.
     *
     * @param status the run, not null
     * @param lastPoll the number of the last poll that was sent
     */
    void add(RunStatus status, long lastPoll) {
        starts.add(new RecentStart(status, lastPoll));
    }

    /**
     * Returns the runs that exist according to the answer to a poll, with those that have started
     * since the poll was sent.
     *
     * @param poll the number of the poll, which grows with each poll
     * @param snapshot the answer, not null
     */
    List<RunStatus> addTo(UpstreamSnapshot snapshot, long poll) {
        starts.removeIf(start -> start.lastPoll() < poll);
        if (!starts.isEmpty()) {
            Set<String> listed = RunLists.runIds(snapshot.running(), snapshot.ended());
            starts.removeIf(
                    start ->
                            listed.contains(
                                    RunLists.runId(start.status().task(), start.status().run())));
        }
        List<RunStatus> running = new ArrayList<>(snapshot.running());
        starts.forEach(start -> running.add(start.status()));
        return running;
    }

    /** Forgets all runs, because their incarnation has ended. */
    void clear() {
        starts.clear();
    }
}
