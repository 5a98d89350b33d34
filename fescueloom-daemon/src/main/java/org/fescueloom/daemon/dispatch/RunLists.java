package org.fescueloom.daemon.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Searches the lists of runs that an upstream returns to a poll. */
final class RunLists {
    private RunLists() {}

    /** Returns the identifier of a run: "TASK#RUN". */
    static String runId(String task, int run) {
        return task + '#' + run;
    }

    /** Returns the identifiers of the runs that exist. */
    static Set<String> runIds(List<RunStatus> running) {
        return running.stream()
                .map(status -> runId(status.task(), status.run()))
                .collect(Collectors.toSet());
    }

    /** Returns the identifiers of the runs that exist or have ended. */
    static Set<String> runIds(List<RunStatus> running, List<EndedRun> ended) {
        Set<String> ids = new HashSet<>();
        running.forEach(status -> ids.add(runId(status.task(), status.run())));
        ended.forEach(end -> ids.add(runId(end.task(), end.run())));
        return ids;
    }

    /** Returns the numbers of ends. */
    static Set<Long> endNumbers(List<EndedRun> ended) {
        return ended.stream().map(EndedRun::number).collect(Collectors.toSet());
    }

    /** Tells whether a run exists or has ended on the upstream. */
    static boolean contain(List<RunStatus> running, List<EndedRun> ended, String task, int run) {
        return running.stream().anyMatch(r -> r.task().equals(task) && r.run() == run)
                || ended.stream().anyMatch(e -> e.task().equals(task) && e.run() == run);
    }
}
