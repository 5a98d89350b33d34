package org.fescueloom.daemon.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.json.Json;
import org.fescueloom.length.StoredRunLengths;
import org.fescueloom.schedule.UpstreamSpeed;
import org.fescueloom.work.JobPhase;
import org.fescueloom.work.JobProgress;
import org.fescueloom.work.Submission;
import org.fescueloom.work.TaskBlock;
import org.fescueloom.work.TaskRecord;
import org.fescueloom.work.WorkJob;

/** Defines the keys and values of the job log, and loads its content. */
final class JobStore {
    /** The job log, which holds jobs, the claims of dispatchers and the speeds of upstreams. */
    static final LogPartition LOG = new LogPartition("keyed.jobs", 0);

    /** The key of the claims by which entries become dispatcher. */
    static final String CLAIM_KEY = "dispatcher";

    /**
     * Sorts after every other key. The page after this key is empty and only tells where the log
     * ends.
     */
    static final String AFTER_ALL_KEYS = "~";

    private static final String SUBMISSION_PREFIX = "j/";
    private static final String PROGRESS_PREFIX = "p/";
    private static final String BLOCK_PREFIX = "b/";
    private static final String SPEED_PREFIX = "u/";
    private static final String CANCELLATION_PREFIX = "c/";
    private static final String LEARNED_PREFIX = "l/";
    private static final String LENGTHS_ID = "lengths";

    /** The key of the learned run lengths. */
    static final String RUN_LENGTHS_KEY = LEARNED_PREFIX + LENGTHS_ID;

    /** Has no content, but must not be empty, since an empty value is a tombstone. */
    private static final byte[] CANCELLATION_VALUE = "{}".getBytes(StandardCharsets.UTF_8);

    /** The progress of a job without a progress record. */
    private static final JobProgress NOT_STARTED =
            new JobProgress(JobPhase.ACTIVE, false, 0, Map.of(), 0);

    private JobStore() {}

    static String submissionKey(String jobId) {
        return SUBMISSION_PREFIX + jobId;
    }

    static String progressKey(String jobId) {
        return PROGRESS_PREFIX + jobId;
    }

    static byte[] encode(Submission submission) {
        return Json.write(submission);
    }

    static byte[] encode(JobProgress progress) {
        return Json.write(progress);
    }

    /** Returns the key of the records of a block of tasks. */
    static String blockKey(String jobId, TaskBlock block) {
        return BLOCK_PREFIX + jobId + '/' + block.text();
    }

    /**
     * Returns the ID of the job to which a record of progress or of a block of tasks belongs; empty
     * for other keys.
     */
    static String jobOfProgress(String key) {
        if (key.startsWith(PROGRESS_PREFIX)) {
            return key.substring(PROGRESS_PREFIX.length());
        }
        int end = key.lastIndexOf('/');
        return key.startsWith(BLOCK_PREFIX) && end >= BLOCK_PREFIX.length()
                ? key.substring(BLOCK_PREFIX.length(), end)
                : "";
    }

    /** Encodes the records of the tasks of a block. */
    static byte[] encode(List<TaskRecord> tasks) {
        return Json.write(tasks);
    }

    static String speedKey(String agent) {
        return SPEED_PREFIX + agent;
    }

    static byte[] encode(UpstreamSpeed speed) {
        return Json.write(speed);
    }

    static byte[] encode(StoredRunLengths lengths) {
        return Json.write(lengths);
    }

    /** Returns the key under which the cancellation of a job is kept that was not submitted yet. */
    static String cancellationKey(String jobId) {
        return CANCELLATION_PREFIX + jobId;
    }

    /** Returns the value of a cancellation. */
    static byte[] encodeCancellation() {
        return CANCELLATION_VALUE.clone();
    }

    /**
     * Holds the content of the job log.
     *
     * @param jobs the jobs, by ID
     * @param speeds the known speeds of upstreams, by agent
     * @param cancellations the IDs of jobs that were cancelled before they were submitted
     * @param runLengths the learned run lengths; empty if there are none that can be read
     */
    record StoredState(
            Map<String, WorkJob> jobs,
            Map<String, UpstreamSpeed> speeds,
            Set<String> cancellations,
            Optional<StoredRunLengths> runLengths) {}

    /**
     * Loads the content of the job log. Must be called by the holder of the claim, while no other
     * process writes.
     *
     * @param log the log service
     * @return a future of the content
     */
    static CompletableFuture<StoredState> load(KeyedLog log) {
        return LatestRecords.read(log, LOG)
                .thenApply(
                        latest -> {
                            Map<String, byte[]> values = new HashMap<>();
                            latest.records().forEach(r -> values.put(r.key(), r.value()));
                            return content(values);
                        });
    }

    private static StoredState content(Map<String, byte[]> values) {
        Map<String, Map<String, byte[]>> blocksByJob = blocksByJob(values);
        return new StoredState(
                decodeAll(
                        values,
                        SUBMISSION_PREFIX,
                        (id, value) ->
                                restoreJob(
                                        value,
                                        values.get(progressKey(id)),
                                        blocksByJob.getOrDefault(id, Map.of()))),
                decodeAll(
                        values,
                        SPEED_PREFIX,
                        (agent, value) -> Json.read(value, UpstreamSpeed.class)),
                decodeAll(values, CANCELLATION_PREFIX, (id, value) -> id).keySet(),
                Optional.ofNullable(
                        decodeAll(
                                        values,
                                        LEARNED_PREFIX,
                                        (id, value) -> Json.read(value, StoredRunLengths.class))
                                .get(LENGTHS_ID)));
    }

    /**
     * Decodes the records whose keys have a prefix; skips those that cannot be decoded. The keys of
     * the result lack the prefix.
     */
    private static <T> Map<String, T> decodeAll(
            Map<String, byte[]> values, String prefix, BiFunction<String, byte[], T> decoder) {
        Map<String, T> decoded = new LinkedHashMap<>();
        values.forEach(
                (key, value) -> {
                    if (key.startsWith(prefix)) {
                        String id = key.substring(prefix.length());
                        try {
                            decoded.put(id, decoder.apply(id, value));
                        } catch (RuntimeException e) {
                            // A record that cannot be decoded must not keep an entry from becoming
                            // dispatcher.
                            EventLog.event("record-skipped").field("key", key).error(e).error();
                        }
                    }
                });
        return decoded;
    }

    /** Returns the values of all blocks by the text of the block, by the ID of the job. */
    private static Map<String, Map<String, byte[]>> blocksByJob(Map<String, byte[]> values) {
        Map<String, Map<String, byte[]>> blocksByJob = new HashMap<>();
        values.forEach(
                (key, value) -> {
                    int end = key.lastIndexOf('/');
                    if (key.startsWith(BLOCK_PREFIX) && end >= BLOCK_PREFIX.length()) {
                        blocksByJob
                                .computeIfAbsent(
                                        key.substring(BLOCK_PREFIX.length(), end),
                                        id -> new HashMap<>())
                                .put(key.substring(end + 1), value);
                    }
                });
        return blocksByJob;
    }

    private static WorkJob restoreJob(
            byte[] submission, byte[] progress, Map<String, byte[]> blocks) {
        Map<TaskBlock, List<TaskRecord>> tasks = new HashMap<>();
        blocks.forEach(
                (block, value) ->
                        tasks.put(
                                TaskBlock.parse(block),
                                List.of(Json.read(value, TaskRecord[].class))));
        return WorkJob.restore(
                Json.read(submission, Submission.class),
                progress == null ? NOT_STARTED : Json.read(progress, JobProgress.class),
                tasks);
    }
}
