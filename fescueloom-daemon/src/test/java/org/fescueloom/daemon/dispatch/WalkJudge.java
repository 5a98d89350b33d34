package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/** Checks each start in an {@link UpstreamWalk} against rule TWICE, and keeps the trace. */
final class WalkJudge {
    private final ManualScheduler loop;
    private final Supplier<List<WalkProcess>> processes;
    private final Set<String> done = new HashSet<>();

    /** By task, when runs of it started. */
    private final Map<String, List<Long>> starts = new HashMap<>();

    private final Map<String, Long> lastStartByBoot = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final List<String> trace = new ArrayList<>();

    WalkJudge(ManualScheduler loop, Supplier<List<WalkProcess>> processes) {
        this.loop = loop;
        this.processes = processes;
    }

    List<String> violations() {
        return violations;
    }

    List<String> trace() {
        return trace;
    }

    void trace(String line) {
        trace.add(loop.nowMillis() + " " + line);
    }

    void violate(String line) {
        trace("VIOLATION " + line);
        violations.add(line);
    }

    /** Returns when an incarnation last started a run; negative if never. */
    long lastStartMillis(WalkProcess process) {
        return lastStartByBoot.getOrDefault(process.boot(), -1L);
    }

    /** Checks a start that is about to take place. */
    void onStart(WalkProcess process, StartOrder order, long nowMillis) {
        trace(process.boot() + " starts " + order.task() + '#' + order.run());
        for (WalkProcess other : processes.get()) {
            other.advance(nowMillis);
            if (other.works(order.task())) {
                violate(
                        "two runs at a time: "
                                + order.task()
                                + " on "
                                + other.boot()
                                + " and "
                                + process.boot());
            }
        }
        if (done.contains(order.task())) {
            violate("start after a noted end: " + order.task() + " on " + process.boot());
        }
        starts.computeIfAbsent(order.task(), task -> new ArrayList<>()).add(nowMillis);
        lastStartByBoot.put(process.boot(), nowMillis);
    }

    /** Records that an end is taken note of; no run of the task may have started since. */
    void onDoneNoted(String task, long endMillis) {
        trace("noted as done: " + task);
        done.add(task);
        if (starts.getOrDefault(task, List.of()).stream().anyMatch(at -> at > endMillis)) {
            violate("start between the end and its note: " + task);
        }
    }
}
