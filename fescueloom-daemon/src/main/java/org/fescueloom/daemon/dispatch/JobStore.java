package org.fescueloom.daemon.dispatch;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.json.Json;
import org.fescueloom.schedule.UpstreamSpeed;
import org.fescueloom.work.JobPhase;
import org.fescueloom.work.JobProgress;
import org.fescueloom.work.Submission;
import org.fescueloom.work.WorkJob;

/** Knows the keys and values under which jobs are kept, and reads all of them back. */
final class JobStore {
    /** The log that holds jobs and the claims of dispatchers. */
    static final String TOPIC = "keyed.jobs";

    /** The key under which an entry claims to be the dispatcher. */
    static final String CLAIM_KEY = "dispatcher";

    /** Follows every key: a page that begins behind it only tells where the log ends. */
    static final String AFTER_ALL_KEYS = "~";

    private static final String SUBMISSION_PREFIX = "j/";
    private static final String PROGRESS_PREFIX = "p/";
    private static final String SPEED_PREFIX = "u/";
    private static final JobProgress UNTOUCHED =
            new JobProgress(JobPhase.ACTIVE, false, 0, Map.of(), 0);

    private JobStore() {}

    static String submissionKey(String job) {
        return SUBMISSION_PREFIX + job;
    }

    static String progressKey(String job) {
        return PROGRESS_PREFIX + job;
    }

    static byte[] encode(Submission submission) {
        return Json.write(submission);
    }

    static byte[] encode(JobProgress progress) {
        return Json.write(progress);
    }

    static String speedKey(String agent) {
        return SPEED_PREFIX + agent;
    }

    static byte[] encode(UpstreamSpeed speed) {
        return Json.write(speed);
    }

    /**
     * Is what a dispatcher finds.
     *
     * @param jobs all jobs, by identifier
     * @param speeds what is known of upstreams, by agent
     */
    record StoredState(Map<String, WorkJob> jobs, Map<String, UpstreamSpeed> speeds) {}

    /** Reads everything; to be called by the holder of the claim, while nobody else writes. */
    static CompletableFuture<StoredState> load(KeyedLog log) {
        return LatestRecords.read(log, TOPIC)
                .thenApply(
                        read -> {
                            Map<String, byte[]> values = new HashMap<>();
                            read.records().forEach(r -> values.put(r.key(), r.value()));
                            return content(values);
                        });
    }

    private static StoredState content(Map<String, byte[]> values) {
        return new StoredState(
                readAll(
                        values,
                        SUBMISSION_PREFIX,
                        (id, value) -> job(value, values.get(progressKey(id)))),
                readAll(
                        values,
                        SPEED_PREFIX,
                        (agent, value) -> Json.read(value, UpstreamSpeed.class)));
    }

    /**
     * Reads the records of one kind, by the rest of their keys; skips those that are unreadable.
     */
    private static <T> Map<String, T> readAll(
            Map<String, byte[]> values, String prefix, BiFunction<String, byte[], T> reader) {
        Map<String, T> found = new LinkedHashMap<>();
        values.forEach(
                (key, value) -> {
                    if (key.startsWith(prefix)) {
                        String id = key.substring(prefix.length());
                        try {
                            found.put(id, reader.apply(id, value));
                        } catch (RuntimeException e) {
                            // Without the others there would be no dispatcher at all.
                            EventLog.event("record-skipped").field("key", key).error(e).error();
                        }
                    }
                });
        return found;
    }

    private static WorkJob job(byte[] submission, byte[] progress) {
        return WorkJob.restore(
                Json.read(submission, Submission.class),
                progress == null ? UNTOUCHED : Json.read(progress, JobProgress.class));
    }
}
