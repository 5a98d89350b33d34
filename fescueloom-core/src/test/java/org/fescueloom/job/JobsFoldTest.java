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
    private final JobsFold book = new JobsFold();
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
        return book.apply(entry(offset++, record));
    }

    static LogRecord entry(long offset, JobRecord record) {
        return entry(offset, offset, record);
    }

    private static LogRecord entry(long offset, long id, JobRecord record) {
        return new LogRecord(offset, offset * 1_000, "id" + id, JobRecordCodec.write(record));
    }

    private JobState state(String job) {
        return book.job(job).orElseThrow().state();
    }

    @Nested
    class Rules {
        @Test
        void firstAcceptanceOfAnIdentifierCounts() {
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
        void secondPlacementIsIgnoredAndSoIsALateEnd() {
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
        void cancelledGangThatFinishedStaysFinished() {
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
            String later = "{\"type\":\"job-accepted\",\"version\":2}";
            String other = "{\"type\":\"job-painted\",\"version\":1}";
            for (String text : List.of(later, other, "{}", "[]", "7")) {
                byte[] bytes = text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
                var payload = Json.read(bytes, com.fasterxml.jackson.databind.JsonNode.class);
                assertThat(book.apply(new LogRecord(offset++, 0, text, payload)))
                        .isEqualTo(RecordEffect.UNREADABLE);
            }
            assertThat(book.effectCounts()).containsEntry(RecordEffect.UNREADABLE, 5L);
        }
    }

    @Nested
    class Snapshots {
        @Test
        void carryAJobOverTheLossOfItsRecords() {
            apply(accepted("a"));
            apply(placed("a", "a1", 4));
            Job before = book.job("a").orElseThrow();
            JobsFold fresh = new JobsFold();
            fresh.apply(entry(9, new JobSnapshot(before)));
            assertThat(fresh.job("a")).contains(before);
            assertThat(fresh.highestEpoch()).isEqualTo(4);
            assertThat(book.dueForSnapshot(1)).containsExactly(before);
            assertThat(book.apply(entry(9, new JobSnapshot(before))))
                    .isEqualTo(RecordEffect.APPLIED);
            assertThat(book.dueForSnapshot(9_000)).isEmpty();
        }

        @Test
        void areIgnoredOnceALaterRecordChangedTheJob() {
            apply(accepted("a"));
            Job before = book.job("a").orElseThrow();
            apply(placed("a", "a1", 1));
            assertThat(apply(new JobSnapshot(before))).isEqualTo(RecordEffect.OUTDATED_SNAPSHOT);
            JobsFold fresh = new JobsFold();
            fresh.apply(entry(1, placed("a", "a1", 1)));
            assertThat(fresh.apply(entry(2, new JobSnapshot(before))))
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
            assertThat(book.failures().health("w1")).isEqualTo(WorkerHealth.withoutFailures("w1"));
        }

        @Test
        void workerOnWhichDifferentJobsFailIsSetAsideForGrowingIntervals() {
            FailureTracker ledger = book.failures();
            long first = WorkerHealth.FIRST_EXCLUSION_MILLIS;
            ledger.recordFailure("a", List.of("w"), 0);
            assertThat(ledger.health("w").standing(0)).isEqualTo(WorkerStanding.TRUSTED);
            ledger.recordFailure("b", List.of("w"), 0);
            assertThat(ledger.health("w").standing(0)).isEqualTo(WorkerStanding.SET_ASIDE);
            assertThat(ledger.health("w").standing(first)).isEqualTo(WorkerStanding.ON_PROBATION);
            ledger.recordFailure("c", List.of("w"), first);
            assertThat(ledger.health("w").standing(3 * first - 1))
                    .isEqualTo(WorkerStanding.SET_ASIDE);
            assertThat(ledger.health("w").standing(3 * first))
                    .isEqualTo(WorkerStanding.ON_PROBATION);
            ledger.recordSuccess("d", List.of("w"));
            assertThat(ledger.workersWithFailures()).isEmpty();
        }

        @Test
        void failuresOnAWorkerThatFailsEverythingDoNotEndJobs() {
            FailureTracker ledger = book.failures();
            for (int job = 0; job < 5; job++) {
                assertThat(ledger.recordFailure("j" + job, List.of("bad"), 0)).isFalse();
                assertThat(ledger.recordFailure("j" + job, List.of("good" + job), 0)).isFalse();
            }
        }
    }

    /** Repeats, reorders and loses records of several planners, and compares with a plain fold. */
    @Nested
    @Group
    class Histories {
        @Property(tries = 500, seed = "5")
        void repeatsChangeNothingAndNoJobRunsTwice(@ForAll Random random) {
            List<JobRecord> history = history(random, 60);
            JobsFold once = new JobsFold();
            JobsFold repeated = new JobsFold();
            long at = 0;
            Map<String, JobState> finals = new HashMap<>();
            for (int i = 0; i < history.size(); i++) {
                int again = random.nextInt(i + 1);
                once.apply(entry(i, i, history.get(i)));
                repeated.apply(entry(at++, i, history.get(i)));
                repeated.apply(entry(at++, again, history.get(again)));
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
        void plainFoldWithoutFencingRunsJobsTwice() {
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
                            case 6 -> ended(job, known, any(random), "w" + random.nextInt(4));
                            default ->
                                    random.nextInt(6) == 0
                                            ? new JobCancelled(job, i)
                                            : new PlannerStarted(i / 10, i);
                        });
            }
            return history;
        }

        private GangResult any(Random random) {
            return GangResult.values()[random.nextInt(GangResult.values().length)];
        }

        private List<String> summary(JobsFold book) {
            return book.jobs().stream()
                    .map(j -> j.id() + j.state() + j.attempts() + j.resumeMillis())
                    .sorted()
                    .toList();
        }

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
