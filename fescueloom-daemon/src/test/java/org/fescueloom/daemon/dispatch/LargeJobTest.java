package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.fescueloom.work.JobStatus;
import org.fescueloom.work.Resources;
import org.fescueloom.work.RunEnd;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.Submission;
import org.fescueloom.work.TaskPhase;
import org.fescueloom.work.WorkJob;
import org.fescueloom.work.WorkSpec;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests jobs whose tasks do not fit into one record of the log service. */
class LargeJobTest {
    private static final Resources SMALL = new Resources(10, 10, 0);
    private static final int WIDE_STEP_TASKS = 2_400;

    private final DispatcherBed bed = new DispatcherBed();
    private final FakeAgent agent = new FakeAgent("side-dosan-a-1", bed.loop());

    LargeJobTest() {
        agent.instance = "i-7f3a91c2";
        agent.bornMillis = 1_780_000_000_000L;
    }

    private static StepSpec step(int tasks, List<Integer> after) {
        return new StepSpec(
                tasks, SMALL, 1_000, after, false, false, "", "", 0, true, false, false, "", 0,
                false, 0);
    }

    private static Submission job(String id, WorkSpec work) {
        return new Submission(id, "queue", "customer", "service", 0, work);
    }

    /** Returns three steps of 2,400 tasks, one after the other. */
    private static WorkSpec wideWork() {
        return new WorkSpec(
                "payload",
                List.of(
                        step(WIDE_STEP_TASKS, List.of()),
                        step(WIDE_STEP_TASKS, List.of(0)),
                        step(WIDE_STEP_TASKS, List.of(1))),
                0,
                0,
                1);
    }

    private Dispatcher claimWithLimits() {
        bed.log().limitRecords(MemoryKeyedLog.KNOWN_RECORD_BYTES);
        return bed.claim();
    }

    private void endAll(RunEnd end) {
        while (!agent.running.isEmpty()) {
            agent.end(end);
        }
    }

    private long longestRecord() {
        return bed.log().records(JobStore.LOG).stream()
                .mapToLong(r -> 1 + r.key().length() + r.value().length)
                .max()
                .orElse(0);
    }

    @Nested
    class WideJob {
        // Guards against the review's case 1: after one large job nothing was started any more.
        @Test
        void doesNotStopOtherJobs() {
            Dispatcher dispatcher = claimWithLimits();
            bed.submit(dispatcher, job("wide", wideWork()));
            agent.exchange(dispatcher);
            bed.submit(dispatcher, JobSamples.singleTask("small"));
            agent.exchange(dispatcher);
            endAll(RunEnd.DONE);
            agent.exchange(dispatcher);

            assertThat(bed.jobStatus(dispatcher, "small")).isEqualTo(JobStatus.SUCCEEDED);
        }

        @Test
        void succeedsAcrossHandOvers() {
            Dispatcher dispatcher = claimWithLimits();
            bed.submit(dispatcher, job("wide", wideWork()));
            for (int step = 0; step < 3; step++) {
                agent.exchangeAll(dispatcher);
                assertThat(agent.running).hasSize(WIDE_STEP_TASKS);
                dispatcher = bed.claim();
                assertThat(agent.exchange(dispatcher).starts()).isEmpty();
                endAll(RunEnd.DONE);
                agent.exchange(dispatcher);
                dispatcher = bed.claim();
            }

            assertThat(bed.jobStatus(dispatcher, "wide")).isEqualTo(JobStatus.SUCCEEDED);
            assertThat(longestRecord()).isLessThan(MemoryKeyedLog.KNOWN_RECORD_BYTES);
        }

        @Test
        void leavesNoRecordsOfTasksBehind() {
            Dispatcher dispatcher = claimWithLimits();
            bed.submit(dispatcher, job("wide", wideWork()));
            for (int step = 0; step < 3; step++) {
                agent.exchangeAll(dispatcher);
                endAll(RunEnd.DONE);
                agent.exchange(dispatcher);
            }
            agent.exchange(dispatcher);

            assertThat(bed.log().newest(JobStore.LOG, "").join().records())
                    .extracting(KeyedRecord::key)
                    .noneMatch(key -> key.startsWith("b/"));
        }

        // A dispatcher may end between any two appends; what is done must stay done.
        @Test
        void losesNoFinishedTaskWhereverTheLogEnds() {
            Dispatcher dispatcher = claimWithLimits();
            bed.submit(dispatcher, job("wide", wideWork()));
            agent.exchange(dispatcher);
            for (int i = 0; i < 5; i++) {
                for (int n = 0; n < 400; n++) {
                    agent.end(RunEnd.DONE);
                }
                agent.exchange(dispatcher);
            }
            List<KeyedRecord> records = bed.log().records(JobStore.LOG);
            long done = 0;
            for (int end = 1; end <= records.size(); end += 7) {
                long doneBefore = done;
                done = doneTasks(records.subList(0, end));
                assertThat(done).isGreaterThanOrEqualTo(doneBefore);
            }
            assertThat(done).isPositive();
        }

        private long doneTasks(List<KeyedRecord> records) {
            MemoryKeyedLog prefix = new MemoryKeyedLog();
            prefix.append(JobStore.LOG, records, KeyedLog.ANY_END, Duration.ZERO);
            WorkJob restored = JobStore.load(prefix).join().jobs().get("wide");
            return restored == null
                    ? 0
                    : restored.tasks(0, 0).stream()
                            .filter(t -> t.phase() == TaskPhase.DONE)
                            .count();
        }
    }

    @Nested
    class DueSchedule {
        private final WorkSpec everyMinuteForAWeek =
                new WorkSpec("payload", List.of(step(1, List.of())), 1, 60, 10_000);

        // Guards against the review's second form of case 1: a small job, due 10,000 times at once.
        @Test
        void doesNotStopOtherJobs() {
            Dispatcher dispatcher = claimWithLimits();
            bed.submit(dispatcher, job("schedule", everyMinuteForAWeek));
            bed.submit(dispatcher, JobSamples.singleTask("small"));
            agent.exchange(dispatcher);
            endAll(RunEnd.DONE);
            agent.exchange(dispatcher);
            endAll(RunEnd.DONE);
            agent.exchange(dispatcher);

            assertThat(bed.jobStatus(dispatcher, "small")).isEqualTo(JobStatus.SUCCEEDED);
            assertThat(longestRecord()).isLessThan(MemoryKeyedLog.KNOWN_RECORD_BYTES);
        }

        @Test
        void succeedsWithEachOccurrenceOnce() {
            Dispatcher dispatcher = claimWithLimits();
            WorkSpec work = new WorkSpec("payload", List.of(step(2, List.of())), 1, 1, 600);
            bed.submit(dispatcher, job("schedule", work));
            List<String> started = new ArrayList<>();
            for (int i = 0;
                    i < 40 && bed.jobStatus(dispatcher, "schedule") != JobStatus.SUCCEEDED;
                    i++) {
                agent.exchange(dispatcher);
                agent.running.forEach(r -> started.add(r.task()));
                endAll(RunEnd.DONE);
                agent.exchange(dispatcher);
                agent.running.forEach(r -> started.add(r.task()));
                endAll(RunEnd.DONE);
                if (i % 5 == 4) {
                    agent.exchange(dispatcher);
                    dispatcher = bed.claim();
                }
            }

            assertThat(bed.jobStatus(dispatcher, "schedule")).isEqualTo(JobStatus.SUCCEEDED);
            assertThat(started).doesNotHaveDuplicates().hasSize(1_200);
        }
    }

    /** The log service takes shorter records than those of known deployments. */
    @Nested
    class JobWhoseProgressIsRefused {
        @Test
        void failsAndDoesNotStopOtherJobs() {
            Dispatcher dispatcher = bed.claim();
            bed.submit(dispatcher, JobSamples.job("wide", 20, 1_000, false, true));
            bed.submit(dispatcher, JobSamples.singleTask("small"));
            agent.accelerators = 200;
            bed.log().limitRecords(700);
            for (int i = 0; i < 10; i++) {
                agent.exchange(dispatcher);
                endAll(RunEnd.DONE);
            }

            assertThat(bed.jobStatus(dispatcher, "small")).isEqualTo(JobStatus.SUCCEEDED);
            assertThat(bed.jobStatus(dispatcher, "wide")).isEqualTo(JobStatus.FAILED);
        }
    }

    // Guards against the class of the review's case 1: each record that an accepted job can lead to
    // is accepted by the log service.
    @Property(seed = "39", tries = 25)
    void everyRecordFits(@ForAll @LongRange(max = 1L << 40) long seed) {
        Random random = new Random(seed);
        DispatcherBed randomBed = new DispatcherBed();
        FakeAgent randomAgent =
                new FakeAgent("agent-" + "n".repeat(random.nextInt(60)), randomBed.loop());
        randomAgent.instance = "i".repeat(1 + random.nextInt(128));
        List<StepSpec> steps = new ArrayList<>();
        int stepCount = 1 + random.nextInt(3);
        for (int i = 0; i < stepCount; i++) {
            steps.add(step(1 + random.nextInt(StepSpec.MAX_TASKS), List.of()));
        }
        WorkSpec work = new WorkSpec("p".repeat(4_000), steps, 1, 1, 1 + random.nextInt(50));
        Dispatcher dispatcher = randomBed.claim();
        randomBed.submit(dispatcher, job("j", work));
        for (int i = 0; i < 3; i++) {
            randomAgent.exchange(dispatcher);
            String checkpoint = "\"".repeat(random.nextInt(1_200));
            randomAgent.running.replaceAll(
                    r -> new RunStatus(r.task(), r.run(), checkpoint, 100, 0));
            randomAgent.exchange(dispatcher);
            randomAgent.end(RunEnd.FAILED);
        }
        randomAgent.exchange(dispatcher);

        assertThat(randomBed.log().records(JobStore.LOG))
                .allMatch(
                        r ->
                                1 + r.key().length() + r.value().length
                                        <= MemoryKeyedLog.KNOWN_RECORD_BYTES);
    }
}
