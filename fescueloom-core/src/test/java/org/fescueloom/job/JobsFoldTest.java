package org.fescueloom.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import org.fescueloom.config.Adjacency;
import org.fescueloom.json.Json;
import org.fescueloom.log.LogRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class JobsFoldTest {
    private final JobsFold fold = new JobsFold();
    private long offset;

    static JobSpec spec(int tasks) {
        return new JobSpec(
                "harbor", "weave", tasks, 1, Adjacency.NONE, 1, 1, 60, true, false, "run");
    }

    static JobAccepted accepted(String job) {
        return new JobAccepted(job, spec(2), 1L);
    }

    static GangPlaced placed(String job, String attempt, long epoch) {
        List<GangMember> members =
                IntStream.range(0, 2).mapToObj(i -> member(attempt, "w" + i, i)).toList();
        return new GangPlaced(job, attempt, epoch, members, null, 1, 1, 0, 2L);
    }

    private static GangMember member(String attempt, String worker, int task) {
        String lease = attempt + "-" + task;
        return new GangMember("" + task, worker, "127.0.0.1:1", lease, List.of(task));
    }

    static GangEnded ended(String job, String attempt, GangResult result, String... atFault) {
        return new GangEnded(job, attempt, 1, result, "why", List.of(atFault), 5L, 3L);
    }

    private RecordEffect apply(JobRecord record) {
        return fold.apply(logRecord(offset++, record));
    }

    static LogRecord logRecord(long offset, JobRecord record) {
        return logRecord(offset, offset, record);
    }

    private static LogRecord logRecord(long offset, long id, JobRecord record) {
        return new LogRecord(offset, offset * 1_000, "id" + id, JobRecordCodec.write(record));
    }

    private JobState state(String job) {
        return fold.job(job).orElseThrow().state();
    }

    @Nested
    class Rules {
        @Test
        void firstAcceptanceOfAnIdentifierApplies() {
            assertThat(apply(accepted("a"))).isEqualTo(RecordEffect.APPLIED);
            assertThat(apply(accepted("a"))).isEqualTo(RecordEffect.REPEATED);
            assertThat(apply(new JobAccepted("a", spec(3), 1)))
                    .isEqualTo(RecordEffect.IDENTIFIER_REUSED);
        }

        @Test
        void placementOfAStaleEpochIsIgnored() {
            apply(accepted("a"));
            apply(new PlannerStarted(7, 0));
            assertThat(apply(placed("a", "a1", 6))).isEqualTo(RecordEffect.STALE_EPOCH);
            assertThat(state("a")).isEqualTo(JobState.WAITING);
        }

        @Test
        void secondPlacementAndLateEndAreIgnored() {
            apply(accepted("a"));
            apply(placed("a", "a1", 1));
            assertThat(apply(placed("a", "a2", 1))).isEqualTo(RecordEffect.NOT_WAITING);
            apply(ended("a", "a1", GangResult.LOST));
            apply(placed("a", "a3", 1));
            assertThat(apply(ended("a", "a1", GangResult.SUCCEEDED)))
                    .isEqualTo(RecordEffect.NOT_CURRENT_ATTEMPT);
            assertThat(apply(placed("a", "a1", 1))).isEqualTo(RecordEffect.REPEATED);
            assertThat(state("a")).isEqualTo(JobState.PLACED);
        }

        @Test
        void cancelledGangThatSucceededStaysSucceeded() {
            apply(accepted("a"));
            apply(placed("a", "a1", 1));
            apply(new JobCancelled("a", 1));
            assertThat(state("a")).isEqualTo(JobState.CANCELLING);
            apply(ended("a", "a1", GangResult.SUCCEEDED));
            assertThat(state("a")).isEqualTo(JobState.SUCCEEDED);
            assertThat(apply(new JobCancelled("a", 1))).isEqualTo(RecordEffect.ALREADY_FINISHED);
        }

        @Test
        void cancelledGangThatFailedIsNotRunAgain() {
            apply(accepted("a"));
            apply(placed("a", "a1", 1));
            apply(new JobCancelled("a", 1));
            apply(ended("a", "a1", GangResult.FAILED, "w0"));
            assertThat(state("a")).isEqualTo(JobState.CANCELLED);
        }

        @Test
        void unknownTypesAndVersionsAreCounted() {
            String newerVersion = "{\"type\":\"job-accepted\",\"version\":2}";
            String unknownType = "{\"type\":\"job-painted\",\"version\":1}";
            for (String text : List.of(newerVersion, unknownType, "{}", "[]", "7")) {
                byte[] bytes = text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
                var payload = Json.read(bytes, com.fasterxml.jackson.databind.JsonNode.class);
                assertThat(fold.apply(new LogRecord(offset++, 0, text, payload)))
                        .isEqualTo(RecordEffect.UNREADABLE);
            }
            assertThat(fold.effectCounts()).containsEntry(RecordEffect.UNREADABLE, 5L);
        }
    }

    @Nested
    class Snapshots {
        @Test
        void restoreAJobWhoseRecordsAreLost() {
            apply(accepted("a"));
            apply(placed("a", "a1", 4));
            Job before = fold.job("a").orElseThrow();
            JobsFold fresh = new JobsFold();
            fresh.apply(logRecord(9, new JobSnapshot(before)));
            assertThat(fresh.job("a")).contains(before);
            assertThat(fresh.highestEpoch()).isEqualTo(4);
            assertThat(fold.dueForSnapshot(1)).containsExactly(before);
            assertThat(fold.apply(logRecord(9, new JobSnapshot(before))))
                    .isEqualTo(RecordEffect.APPLIED);
            assertThat(fold.dueForSnapshot(9_000)).isEmpty();
        }

        @Test
        void areIgnoredAfterALaterRecordChangedTheJob() {
            apply(accepted("a"));
            Job before = fold.job("a").orElseThrow();
            apply(placed("a", "a1", 1));
            assertThat(apply(new JobSnapshot(before))).isEqualTo(RecordEffect.OUTDATED_SNAPSHOT);
            JobsFold fresh = new JobsFold();
            fresh.apply(logRecord(1, placed("a", "a1", 1)));
            assertThat(fresh.apply(logRecord(2, new JobSnapshot(before))))
                    .isEqualTo(RecordEffect.OUTDATED_SNAPSHOT);
        }
    }

    @Nested
    class Failures {
        @Test
        void jobThatFailsOnDifferentWorkersEnds() {
            apply(accepted("a"));
            for (int i = 0; i < FailureTracker.ATTEMPTS_ON_DIFFERENT_WORKERS; i++) {
                assertThat(state("a")).isEqualTo(JobState.WAITING);
                apply(placed("a", "a" + i, 1));
                apply(ended("a", "a" + i, GangResult.FAILED, "w" + i));
            }
            assertThat(state("a")).isEqualTo(JobState.FAILED);
            assertThat(fold.failures().health("w1")).isEqualTo(WorkerHealth.withoutFailures("w1"));
        }

        @Test
        void workerOnWhichDifferentJobsFailIsExcludedForGrowingIntervals() {
            FailureTracker tracker = fold.failures();
            long first = WorkerHealth.FIRST_EXCLUSION_MILLIS;
            tracker.recordFailure("a", List.of("w"), 0);
            assertThat(tracker.health("w").standing(0)).isEqualTo(WorkerStanding.TRUSTED);
            tracker.recordFailure("b", List.of("w"), 0);
            assertThat(tracker.health("w").standing(0)).isEqualTo(WorkerStanding.SET_ASIDE);
            assertThat(tracker.health("w").standing(first)).isEqualTo(WorkerStanding.ON_PROBATION);
            // The second exclusion is twice as long as the first and begins at its end.
            tracker.recordFailure("c", List.of("w"), first);
            assertThat(tracker.health("w").standing(3 * first - 1))
                    .isEqualTo(WorkerStanding.SET_ASIDE);
            assertThat(tracker.health("w").standing(3 * first))
                    .isEqualTo(WorkerStanding.ON_PROBATION);
            tracker.recordSuccess("d", List.of("w"));
            assertThat(tracker.workersWithFailures()).isEmpty();
        }

        @Test
        void failuresOnAWorkerThatFailsEveryJobDoNotEndJobs() {
            FailureTracker tracker = fold.failures();
            for (int job = 0; job < 5; job++) {
                assertThat(tracker.recordFailure("j" + job, List.of("bad"), 0)).isFalse();
                assertThat(tracker.recordFailure("j" + job, List.of("good" + job), 0)).isFalse();
            }
        }
    }

    /**
     * Applies random histories of records of several planners, some of them stale, with and without
     * repeated records. A fold without the rules shows that such histories would run jobs twice.
     */
    @Nested
    @Group
    class RandomHistories {
        @Property(tries = 500, seed = "5")
        void repeatedRecordsChangeNothingAndNoJobRunsTwice(@ForAll Random random) {
            List<JobRecord> history = history(random, 60);
            JobsFold once = new JobsFold();
            JobsFold repeated = new JobsFold();
            long nextOffset = 0;
            Map<String, JobState> finals = new HashMap<>();
            for (int i = 0; i < history.size(); i++) {
                int repeatedIndex = random.nextInt(i + 1);
                once.apply(logRecord(i, i, history.get(i)));
                repeated.apply(logRecord(nextOffset++, i, history.get(i)));
                repeated.apply(logRecord(nextOffset++, repeatedIndex, history.get(repeatedIndex)));
                for (Job job : once.jobs()) {
                    long open = job.attempts().stream().filter(GangAttempt::isOpen).count();
                    assertThat(open).isEqualTo(job.state().hasGang() ? 1 : 0);
                    if (job.state().isFinal()) {
                        finals.putIfAbsent(job.id(), job.state());
                        assertThat(job.state()).isEqualTo(finals.get(job.id()));
                    }
                }
            }
            assertThat(summary(repeated)).isEqualTo(summary(once));
        }

        @Test
        void foldWithoutFencingRunsJobsTwice() {
            int twice = 0;
            for (int seed = 0; seed < 100; seed++) {
                twice += foldWithoutRules(history(new Random(seed), 60)) ? 1 : 0;
            }
            assertThat(twice).isPositive();
        }

        private List<JobRecord> history(Random random, int length) {
            List<JobRecord> history = new ArrayList<>();
            int attempts = 0;
            for (int i = 0; i < length; i++) {
                String job = "j" + random.nextInt(3);
                String known = job + "-" + random.nextInt(attempts + 1);
                history.add(
                        switch (random.nextInt(8)) {
                            case 0, 1 -> accepted(job);
                            case 2, 3, 4 ->
                                    placed(job, job + "-" + attempts++, i / 10 - random.nextInt(2));
                            case 5 -> ended(job, known, GangResult.LOST);
                            case 6 ->
                                    ended(
                                            job,
                                            known,
                                            randomResult(random),
                                            "w" + random.nextInt(4));
                            default ->
                                    random.nextInt(6) == 0
                                            ? new JobCancelled(job, i)
                                            : new PlannerStarted(i / 10, i);
                        });
            }
            return history;
        }

        private GangResult randomResult(Random random) {
            return GangResult.values()[random.nextInt(GangResult.values().length)];
        }

        private List<String> summary(JobsFold fold) {
            return fold.jobs().stream()
                    .map(j -> j.id() + j.state() + j.attempts() + j.resumeMillis())
                    .sorted()
                    .toList();
        }

        /** Applies every placement and every end; tells whether a job had two gangs at a time. */
        private boolean foldWithoutRules(List<JobRecord> history) {
            Map<String, Set<String>> open = new HashMap<>();
            boolean twice = false;
            for (JobRecord record : history) {
                if (record instanceof GangPlaced placed) {
                    Set<String> gangs = open.computeIfAbsent(placed.job(), j -> new HashSet<>());
                    gangs.add(placed.attempt());
                    twice |= gangs.size() > 1;
                } else if (record instanceof GangEnded ended) {
                    open.getOrDefault(ended.job(), new HashSet<>()).remove(ended.attempt());
                }
            }
            return twice;
        }
    }
}
