package org.fescueloom.daemon.dispatch;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.failure.SchedulerException;
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

    static byte[] write(Submission submission) {
        return Json.write(submission);
    }

    static byte[] write(JobProgress progress) {
        return Json.write(progress);
    }

    static String speedKey(String agent) {
        return SPEED_PREFIX + agent;
    }

    static byte[] write(UpstreamSpeed speed) {
        return Json.write(speed);
    }

    /**
     * Is what a dispatcher finds.
     *
     * @param jobs all jobs, by identifier
     * @param speeds what is known of upstreams, by agent
     */
    record Content(Map<String, WorkJob> jobs, Map<String, UpstreamSpeed> speeds) {}

    /** Reads everything; to be called by the holder of the claim, while nobody else writes. */
    static CompletableFuture<Content> load(KeyedLog log) {
        Map<String, byte[]> values = new HashMap<>();
        return loadFrom(log, "", values)
                .thenApply(done -> new Content(jobs(values), speeds(values)));
    }

    private static CompletableFuture<Void> loadFrom(
            KeyedLog log, String afterKey, Map<String, byte[]> values) {
        return log.newest(TOPIC, afterKey)
                .thenCompose(
                        page -> {
                            List<KeyedRecord> records = page.records();
                            records.forEach(r -> values.put(r.key(), r.value()));
                            if (!page.more() || records.isEmpty()) {
                                return CompletableFuture.completedFuture(null);
                            }
                            return loadFrom(log, records.get(records.size() - 1).key(), values);
                        });
    }

    private static Map<String, WorkJob> jobs(Map<String, byte[]> values) {
        Map<String, WorkJob> jobs = new LinkedHashMap<>();
        values.forEach(
                (key, value) -> {
                    if (key.startsWith(SUBMISSION_PREFIX)) {
                        String id = key.substring(SUBMISSION_PREFIX.length());
                        try {
                            jobs.put(id, job(value, values.get(progressKey(id))));
                        } catch (SchedulerException e) {
                            EventLog.event("record-skipped").field("key", key).error(e).error();
                        }
                    }
                });
        return jobs;
    }

    private static Map<String, UpstreamSpeed> speeds(Map<String, byte[]> values) {
        Map<String, UpstreamSpeed> speeds = new HashMap<>();
        values.forEach(
                (key, value) -> {
                    if (key.startsWith(SPEED_PREFIX)) {
                        String agent = key.substring(SPEED_PREFIX.length());
                        try {
                            speeds.put(agent, Json.read(value, UpstreamSpeed.class));
                        } catch (SchedulerException e) {
                            EventLog.event("record-skipped").field("key", key).error(e).error();
                        }
                    }
                });
        return speeds;
    }

    private static WorkJob job(byte[] submission, byte[] progress) {
        return WorkJob.restore(
                Json.read(submission, Submission.class),
                progress == null ? UNTOUCHED : Json.read(progress, JobProgress.class));
    }
}
