package org.fescueloom.standins.worker;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fescueloom.standins.TestHttp.call;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.fescueloom.standins.Fault;
import org.fescueloom.standins.FaultKind;
import org.fescueloom.standins.Faults;
import org.fescueloom.standins.ListenAddress;
import org.fescueloom.wire.LeaseReport;
import org.fescueloom.wire.LeaseRequest;
import org.fescueloom.wire.TaskReport;
import org.fescueloom.wire.TaskRequest;
import org.fescueloom.wire.TaskState;
import org.fescueloom.wire.WorkerCapacity;
import org.fescueloom.wire.WorkerReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WorkerStandInTest {
    private static final long LONG_MILLIS = 60_000L;
    private final WorkerStandIn worker =
            new WorkerStandIn(
                    ListenAddress.ANY,
                    new WorkerIdentity("w1", "z1", new WorkerCapacity("r1", 0, 8, 32, 1000L)),
                    List.of());

    @BeforeEach
    void start() {
        worker.start();
    }

    @AfterEach
    void close() {
        worker.close();
    }

    private int requestLease(String leaseId, long token, List<Integer> accelerators, long ttlMillis)
            throws IOException {
        LeaseRequest request = new LeaseRequest(token, "j", "a", accelerators, 4, 100L, ttlMillis);
        return call("PUT", worker.address(), "/v1/leases/" + leaseId, request).status();
    }

    private TaskReport callTask(String method, String path, Object body) throws IOException {
        var response = call(method, worker.address(), "/v1/leases/" + path, body);
        assertThat(response.status()).isEqualTo(200);
        return response.as(TaskReport.class);
    }

    private List<LeaseReport> leases() throws IOException {
        return call("GET", worker.address(), "/v1/worker", null).as(WorkerReport.class).leases();
    }

    private void awaitEvent(WorkerEvent.Kind kind) throws InterruptedException {
        long endNanos = System.nanoTime() + 10_000_000_000L;
        while (worker.records().stream().noneMatch(e -> e.kind() == kind)) {
            assertThat(System.nanoTime()).isLessThan(endNanos);
            Thread.sleep(10L);
        }
    }

    @Nested
    class Leases {
        @Test
        void grantsEachAcceleratorOnce() throws IOException {
            assertThat(requestLease("l1", 1L, List.of(0, 1), LONG_MILLIS)).isEqualTo(200);
            assertThat(requestLease("l1", 1L, List.of(0, 1), LONG_MILLIS)).isEqualTo(200);
            assertThat(requestLease("l2", 1L, List.of(1, 2), LONG_MILLIS)).isEqualTo(409);
            assertThat(requestLease("l2", 1L, List.of(8), LONG_MILLIS)).isEqualTo(409);
            assertThat(leases()).hasSize(1);
        }

        @Test
        void refusesTokensBelowTheHighestSeen() throws IOException {
            assertThat(requestLease("l1", 5L, List.of(0), LONG_MILLIS)).isEqualTo(200);
            assertThat(requestLease("l2", 4L, List.of(1), LONG_MILLIS)).isEqualTo(412);
            int status = call("DELETE", worker.address(), "/v1/leases/l1?token=4", "").status();
            assertThat(status).isEqualTo(412);
        }

        @Test
        void neverGrantsReleasedOrLapsedIdentifiersAgain() throws Exception {
            requestLease("l1", 1L, List.of(0), LONG_MILLIS);
            call("DELETE", worker.address(), "/v1/leases/l1?token=1", "");
            assertThat(requestLease("l1", 1L, List.of(0), LONG_MILLIS)).isEqualTo(409);
            requestLease("l2", 1L, List.of(0), 50L);
            awaitEvent(WorkerEvent.Kind.LEASE_LAPSED);
            assertThat(requestLease("l2", 1L, List.of(0), LONG_MILLIS)).isEqualTo(409);
            assertThat(leases()).isEmpty();
        }

        @Test
        void renewsHeldLeasesAndReportsUnknownOnes() throws Exception {
            requestLease("l1", 1L, List.of(0), 400L);
            Map<?, ?> response =
                    call(
                                    "POST",
                                    worker.address(),
                                    "/v1/leases/renew",
                                    Map.of("leases", List.of("l1", "x"), "ttlMillis", LONG_MILLIS))
                            .as(Map.class);
            assertThat(response.toString()).isEqualTo("{renewed=[l1], unknown=[x]}");
            Thread.sleep(600L);
            assertThat(leases()).hasSize(1);
        }
    }

    @Nested
    class Tasks {
        @Test
        void runToTheirEnd() throws Exception {
            requestLease("l1", 1L, List.of(0), LONG_MILLIS);
            callTask("PUT", "l1/tasks/t1", new TaskRequest("c", 50L, 0L));
            awaitEvent(WorkerEvent.Kind.TASK_SUCCEEDED);
            assertThat(leases().get(0).tasks().get(0).state()).isEqualTo(TaskState.SUCCEEDED);
        }

        @Test
        void startOnlyOnceAndKeepTheirCheckpoints() throws IOException {
            requestLease("l1", 1L, List.of(0), LONG_MILLIS);
            callTask("PUT", "l1/tasks/t1", new TaskRequest("c", LONG_MILLIS, 500L));
            callTask("PUT", "l1/tasks/t1", new TaskRequest("c", LONG_MILLIS, 0L));
            assertThat(callTask("POST", "l1/tasks/t1/checkpoint", "").checkpointMillis())
                    .isBetween(500L, LONG_MILLIS - 1L);
            assertThat(callTask("POST", "l1/tasks/t1/stop", "").state())
                    .isEqualTo(TaskState.STOPPED);
            assertThat(worker.records())
                    .filteredOn(e -> e.kind() == WorkerEvent.Kind.TASK_STARTED)
                    .hasSize(1);
        }

        @Test
        void stopWhenTheLeaseLapsesOnAFrozenWorker() throws Exception {
            requestLease("l1", 1L, List.of(0), 300L);
            callTask("PUT", "l1/tasks/t1", new TaskRequest("c", LONG_MILLIS, 0L));
            worker.faults(Faults.of(Fault.always(FaultKind.FREEZE)));
            awaitEvent(WorkerEvent.Kind.LEASE_LAPSED);
            awaitEvent(WorkerEvent.Kind.TASK_STOPPED);
        }

        @Test
        void failOrNeverRunUnderFaults() throws Exception {
            requestLease("l1", 1L, List.of(0), LONG_MILLIS);
            worker.faults(Faults.of(Fault.always(FaultKind.FAIL_TASKS)));
            callTask("PUT", "l1/tasks/t1", new TaskRequest("c", LONG_MILLIS, 0L));
            awaitEvent(WorkerEvent.Kind.TASK_FAILED);
            worker.faults(Faults.of(Fault.always(FaultKind.LOSE_START)));
            callTask("PUT", "l1/tasks/t2", new TaskRequest("c", LONG_MILLIS, 0L));
            assertThat(leases().get(0).tasks()).extracting(TaskReport::task).containsExactly("t1");
        }
    }
}
