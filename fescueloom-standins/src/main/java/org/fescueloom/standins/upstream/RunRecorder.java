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

/**
 * Records the runs of an upstream and the calls that violated the protocol.
 *
 * <p>Safe for use by several threads.
 */
final class RunRecorder {
    private static final byte NEW_LINE = 10;

    private final String upstreamId;
    private final int slots;
    private final Path startsFile;
    private final List<UpstreamRun> runs = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private int runningCount;

    /**
     * Creates a recorder without runs.
     *
     * @param upstreamId the identifier of the upstream, not null
     * @param slots the number of runs that may be in progress at the same time, at least 1
     * @param startsFile the file to which each start is also appended, as one line of JSON; null
     *     for none
     */
    RunRecorder(String upstreamId, int slots, Path startsFile) {
        this.upstreamId = upstreamId;
        this.slots = slots;
        this.startsFile = startsFile;
    }

    /**
     * Records the start of a run; records a violation instead if all slots are taken.
     *
     * @param run the run, not null
     * @return the index of the run, for {@link #recordEnd}, or -1 if all slots are taken
     */
    synchronized int recordStart(UpstreamRun run) {
        if (runningCount >= slots) {
            violations.add("attempt " + run.attemptId() + " arrived while all slots were taken");
            return -1;
        }
        runningCount++;
        runs.add(run);
        appendToFile(run);
        return runs.size() - 1;
    }

    /**
     * Records the end of a run.
     *
     * @param runIndex the index that {@link #recordStart} returned
     * @param status the HTTP status of the response
     */
    synchronized void recordEnd(int runIndex, int status) {
        runningCount--;
        runs.set(runIndex, runs.get(runIndex).withEnd(System.currentTimeMillis(), status));
    }

    synchronized int runningCount() {
        return runningCount;
    }

    synchronized UpstreamRecords records() {
        return new UpstreamRecords(upstreamId, runs, violations);
    }

    private void appendToFile(UpstreamRun run) {
        if (startsFile == null) {
            return;
        }
        try {
            byte[] json = Json.write(run);
            byte[] line = Arrays.copyOf(json, json.length + 1);
            line[json.length] = NEW_LINE;
            Files.write(startsFile, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
