package org.fescueloom.daemon.jobs;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.fescueloom.gang.LeaseTimings;
import org.fescueloom.standins.Fault;
import org.fescueloom.standins.FaultKind;
import org.fescueloom.standins.Faults;
import org.fescueloom.standins.harness.Signal;
import org.fescueloom.standins.worker.WorkerEvent;
import org.fescueloom.standins.worker.WorkerStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Runs gang jobs on entry and agent processes, and causes the failures that the gang job services
 * must tolerate: killed and paused processes, outages of the log service, lost starts, frozen
 * workers and zones out of service.
 */
class JobSystemTest {
    private static final LeaseTimings TIMINGS = LeaseTimings.DEFAULT;

    private JobTestBed bed;

    @BeforeEach
    void open() throws Exception {
        bed = new JobTestBed(2, 3, 6);
    }

    @AfterEach
    void close() throws Exception {
        bed.close();
    }

    private List<WorkerEvent> taskStarts(String job) {
        return bed.events(job, WorkerEvent.Kind.TASK_STARTED);
    }

    private void assertRanOnce(String job, int tasks) {
        assertThat(taskStarts(job)).hasSize(tasks);
        assertThat(taskStarts(job))
                .extracting(WorkerEvent::attempt)
                .containsOnly(taskStarts(job).get(0).attempt());
        assertThat(bed.events(job, WorkerEvent.Kind.TASK_SUCCEEDED)).hasSize(tasks);
    }

    private void assertAllLeasesEnd() throws Exception {
        JobTestBed.await(
                "all leases returned",
                () -> bed.workers.values().stream().allMatch(this::allLeasesEnded));
    }

    private boolean allLeasesEnded(WorkerStandIn worker) {
        long granted = count(worker, WorkerEvent.Kind.LEASE_GRANTED);
        long ended =
                count(worker, WorkerEvent.Kind.LEASE_RELEASED)
                        + count(worker, WorkerEvent.Kind.LEASE_LAPSED);
        return granted <= ended;
    }

    private static long count(WorkerStandIn worker, WorkerEvent.Kind kind) {
        return worker.records().stream().filter(e -> e.kind() == kind).count();
    }

    @Nested
    class Outages {
        @Test
        void gangRunsOnAfterThePlannerAndEveryEntryAreKilled() throws Exception {
            bed.submit("long", JobTestBed.spec(4, 4, 25));
            bed.awaitTasksStarted("long", 4);
            String plannerId = bed.plannerId();
            bed.daemons.get(plannerId).kill();
            bed.replaceEntry(plannerId, "entry-8");
            String otherEntryId = plannerId.equals("entry-0") ? "entry-1" : "entry-0";
            bed.daemons.get(otherEntryId).kill();
            bed.replaceEntry(otherEntryId, "entry-9");
            bed.submit("next", JobTestBed.spec(1, 1, 1));
            bed.awaitState("next", "succeeded");
            bed.awaitState("long", "succeeded");
            assertRanOnce("long", 4);
            assertAllLeasesEnd();
        }

        @Test
        void gangRunsOnDuringALogOutageThatIsLongerThanItsLeases() throws Exception {
            bed.submit("long", JobTestBed.spec(4, 4, 12));
            bed.awaitTasksStarted("long", 4);
            bed.log.faults(Faults.of(Fault.always(FaultKind.CLOSE)));
            Thread.sleep(3 * TIMINGS.ttlMillis());
            bed.log.faults(Faults.NONE);
            bed.awaitState("long", "succeeded");
            assertRanOnce("long", 4);
            assertAllLeasesEnd();
        }

        @Test
        void gangRunsOnAfterOneKeeperAndThenTheNextAreKilled() throws Exception {
            bed.submit("long", JobTestBed.spec(4, 4, 15));
            bed.awaitTasksStarted("long", 4);
            bed.daemons.get("agent-0").kill();
            Thread.sleep(TIMINGS.ttlMillis());
            bed.daemons.get("agent-1").kill();
            bed.awaitState("long", "succeeded");
            assertRanOnce("long", 4);
        }
    }

    @Nested
    class PartialFailures {
        @Test
        void lostStartOfOneTaskStopsTheOtherTasksInTime() throws Exception {
            bed.workers
                    .get("worker-1")
                    .faults(Faults.of(Fault.always(FaultKind.LOSE_START).withTimes(1)));
            bed.submit("gang", JobTestBed.spec(6, 4, 2));
            bed.awaitState("gang", "succeeded");
            assertPartialRunsAreShort("gang");
            assertThat(bed.events("gang", WorkerEvent.Kind.TASK_SUCCEEDED)).hasSizeGreaterThan(5);
        }

        @Test
        void gangOnAFrozenWorkerIsStoppedAndRunsOnOtherWorkers() throws Exception {
            bed.submit("gang", JobTestBed.spec(4, 4, 20));
            bed.awaitTasksStarted("gang", 4);
            String worker = bed.jobReport("gang").placement().get(0).worker();
            long frozenAtMillis = System.currentTimeMillis();
            bed.workers.get(worker).faults(Faults.of(Fault.always(FaultKind.FREEZE)));
            JobTestBed.await(
                    "all members stopped",
                    () -> bed.events("gang", WorkerEvent.Kind.TASK_STOPPED).size() >= 4);
            long lastStopMillis =
                    bed.events("gang", WorkerEvent.Kind.TASK_STOPPED).stream()
                            .mapToLong(WorkerEvent::timeMillis)
                            .max()
                            .orElseThrow();
            assertThat(lastStopMillis - frozenAtMillis)
                    .isLessThanOrEqualTo(
                            TIMINGS.maxPartialRunMillis(0)
                                    + TIMINGS.ttlMillis()
                                    + 2 * TIMINGS.pollMillis());
            bed.awaitState("gang", "succeeded");
            assertThat(bed.jobReport("gang").attempts()).isEqualTo(2);
            assertThat(bed.events("gang", WorkerEvent.Kind.TASK_SUCCEEDED)).hasSize(4);
        }

        @Test
        void pausedPlannerStartsNothingAfterItWasReplaced() throws Exception {
            String plannerId = bed.plannerId();
            bed.daemons.get(plannerId).send(Signal.STOP);
            String address = bed.addresses.remove(plannerId);
            for (int i = 0; i < 6; i++) {
                bed.submit("job-" + i, JobTestBed.spec(2, 4, 3));
            }
            bed.awaitTasksStarted("job-0", 2);
            bed.daemons.get(plannerId).send(Signal.CONT);
            bed.addresses.put(plannerId, address);
            for (int i = 0; i < 6; i++) {
                bed.awaitState("job-" + i, "succeeded");
                assertRanOnce("job-" + i, 2);
            }
        }

        private void assertPartialRunsAreShort(String job) {
            Map<String, List<WorkerEvent>> byAttempt =
                    taskStarts(job).stream().collect(Collectors.groupingBy(WorkerEvent::attempt));
            for (Map.Entry<String, List<WorkerEvent>> attempt : byAttempt.entrySet()) {
                if (attempt.getValue().size() == 6) {
                    continue;
                }
                long firstStartMillis =
                        attempt.getValue().stream()
                                .mapToLong(WorkerEvent::timeMillis)
                                .min()
                                .orElseThrow();
                List<WorkerEvent> stops =
                        bed.events(job, WorkerEvent.Kind.TASK_STOPPED).stream()
                                .filter(e -> e.attempt().equals(attempt.getKey()))
                                .toList();
                assertThat(stops).hasSameSizeAs(attempt.getValue());
                assertThat(stops)
                        .allMatch(
                                e ->
                                        e.timeMillis() - firstStartMillis
                                                <= TIMINGS.maxPartialRunMillis(0));
            }
        }
    }

    @Nested
    class Zones {
        @Test
        void noTaskStartsInAZoneUntilTheZoneIsBackInService() throws Exception {
            bed.call("PUT", "/v1/zones/north-yard", Map.of("state", "out"));
            long zoneOutMillis = System.currentTimeMillis();
            for (int i = 0; i < 8; i++) {
                bed.submit("job-" + i, JobTestBed.spec(1, 4, 1));
            }
            for (int i = 0; i < 8; i++) {
                bed.awaitState("job-" + i, "succeeded");
            }
            assertThat(taskStartsOn("worker-1", zoneOutMillis)).isEmpty();
            assertThat(taskStartsOn("worker-4", zoneOutMillis)).isEmpty();
            bed.call("PUT", "/v1/zones/north-yard", Map.of("state", "in"));
            bed.submit("all", JobTestBed.spec(6, 4, 1));
            bed.awaitState("all", "succeeded");
            assertThat(taskStartsOn("worker-1", zoneOutMillis)).hasSize(1);
        }

        private List<WorkerEvent> taskStartsOn(String worker, long sinceMillis) {
            return bed.workers.get(worker).records().stream()
                    .filter(e -> e.kind() == WorkerEvent.Kind.TASK_STARTED)
                    .filter(e -> e.timeMillis() > sinceMillis)
                    .toList();
        }
    }

    @Nested
    class Cancellations {
        @Test
        void cancellingManyJobsEndsEachJobAndReleasesEachLease() throws Exception {
            List<String> jobs = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                jobs.add("wave-" + i);
                bed.submit("wave-" + i, JobTestBed.spec(2, 2, 30));
            }
            for (String job : jobs) {
                assertThat(bed.call("DELETE", "/v1/jobs/" + job, null).status()).isEqualTo(202);
            }
            for (String job : jobs) {
                bed.awaitState(job, "cancelled");
            }
            assertAllLeasesEnd();
            bed.submit("after", JobTestBed.spec(6, 4, 1));
            bed.awaitState("after", "succeeded");
        }
    }
}
