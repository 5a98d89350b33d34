package org.fescueloom.standins.upstream;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.fescueloom.json.Json;

/** Keeps the runs of an upstream and what was done wrong. Safe for use by several threads. */
final class RunLedger {
    private static final byte NEW_LINE = 10;

    private final String upstream;
    private final int slots;
    private final Path file;
    private final List<UpstreamRun> runs = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private int running;

    /**
     * Creates an empty ledger.
     *
     * @param upstream the identifier of the upstream, not null
     * @param slots how many runs may go on at once
     * @param file where each start is written too, one JSON line each; null for nowhere
     */
    RunLedger(String upstream, int slots, Path file) {
        this.upstream = upstream;
        this.slots = slots;
        this.file = file;
    }

    /**
     * Records the start of a run.
     *
     * @param run the run, not null
     * @return its place for {@link #end}, or -1 if all slots are taken
     */
    synchronized int begin(UpstreamRun run) {
        if (running >= slots) {
            violations.add("attempt " + run.attemptId() + " came while all slots were taken");
            return -1;
        }
        running++;
        runs.add(run);
        append(run);
        return runs.size() - 1;
    }

    /**
     * Records the end of a run.
     *
     * @param place its place
     * @param status the status of the answer
     */
    synchronized void end(int place, int status) {
        running--;
        runs.set(place, runs.get(place).ended(System.currentTimeMillis(), status));
    }

    synchronized int running() {
        return running;
    }

    synchronized UpstreamRecords records() {
        return new UpstreamRecords(upstream, runs, violations);
    }

    private void append(UpstreamRun run) {
        if (file == null) {
            return;
        }
        try {
            byte[] json = Json.write(run);
            byte[] line = Arrays.copyOf(json, json.length + 1);
            line[json.length] = NEW_LINE;
            Files.write(file, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
