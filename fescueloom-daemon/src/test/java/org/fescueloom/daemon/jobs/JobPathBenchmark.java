package org.fescueloom.daemon.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.job.GangEnded;
import org.fescueloom.job.GangMember;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.job.GangResult;
import org.fescueloom.job.JobAccepted;
import org.fescueloom.job.JobRecord;
import org.fescueloom.job.JobRecordCodec;
import org.fescueloom.job.JobSpec;
import org.fescueloom.job.JobsFold;
import org.fescueloom.json.Json;
import org.fescueloom.log.LogRecord;
import org.fescueloom.standins.harness.ManagedProcess;
import org.fescueloom.wire.LeaseRenewal;
import org.fescueloom.wire.LeaseReport;
import org.fescueloom.wire.TaskReport;
import org.fescueloom.wire.TaskState;
import org.fescueloom.wire.WorkerReport;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Measures the cost per job, record, lease and gang, from which docs/CAPACITY.md computes the
 * capacity.
 */
@Tag("benchmark")
class JobPathBenchmark {
    /** The number of jobs in one month, one every 233 s. */
    private static final int JOBS = 11_100;

    /** The time that processes run before their cost is measured, in milliseconds. */
    private static final long WARM_UP_MILLIS = 40_000;

    private static GangPlaced placed(String job, int tasks) {
        List<GangMember> members =
                IntStream.range(0, tasks)
                        .mapToObj(
                                i ->
                                        new GangMember(
                                                Integer.toString(i),
                                                "worker-" + (100 + i),
                                                "10.20.30." + (100 + i) + ":7400",
                                                job + ".123456.7890." + i,
                                                List.of(0)))
                        .toList();
        return new GangPlaced(job, job + ".123456.7890", 123_456, members, null, 4, 8_192, 0, 1);
    }

    private static int encodedSize(JobRecord record) {
        return Json.write(JobRecordCodec.write(record)).length;
    }

    @Test
    void recordSizes() {
        JobSpec spec = JobTestBed.spec(8, 1, 7_200);
        System.out.printf(
                "record job-accepted: %d bytes%n", encodedSize(new JobAccepted("j", spec, 1)));
        for (int tasks : new int[] {1, 8, 32}) {
            System.out.printf(
                    "record gang-placed, %d tasks: %d bytes%n",
                    tasks, encodedSize(placed("j", tasks)));
        }
        GangEnded end =
                new GangEnded(
                        "j", "j.1.1", 1, GangResult.SUCCEEDED, "every task ended", null, 0, 1);
        System.out.printf("record gang-ended: %d bytes%n", encodedSize(end));
    }

    @Test
    void foldOfOneMonth() {
        List<LogRecord> records = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String job = "job-" + i;
            JobSpec spec = JobTestBed.spec(7, 1, 7_200);
            long acceptedAtMillis = i * 233_000L;
            add(records, acceptedAtMillis, new JobAccepted(job, spec, acceptedAtMillis));
            add(records, acceptedAtMillis, placed(job, 7));
            add(
                    records,
                    acceptedAtMillis,
                    new GangEnded(
                            job,
                            job + ".123456.7890",
                            123_456,
                            GangResult.SUCCEEDED,
                            "every task ended with success",
                            null,
                            0,
                            acceptedAtMillis));
        }
        long bytes = records.stream().mapToLong(r -> Json.write(r).length).sum();
        for (int round = 0; round < 3; round++) {
            long start = System.nanoTime();
            JobLedger ledger = new JobLedger();
            records.forEach(ledger::apply);
            long millis = (System.nanoTime() - start) / 1_000_000;
            System.out.printf(
                    "fold of %d jobs, %d records, %d bytes: %d ms, %d jobs kept%n",
                    JOBS, records.size(), bytes, millis, ledger.jobs(j -> true).size());
        }
    }

    private static void add(List<LogRecord> records, long timestampMillis, JobRecord record) {
        int offset = records.size();
        records.add(
                new LogRecord(
                        offset, timestampMillis, "record-" + offset, JobRecordCodec.write(record)));
    }

    @Test
    void heapOfJobs() throws Exception {
        JobsFold fold = new JobsFold();
        long bytesBefore = usedHeap();
        for (int i = 0; i < 2_000; i++) {
            String job = "job-" + i;
            JobSpec spec = JobTestBed.spec(7, 1, 7_200);
            fold.apply(record(2 * i, new JobAccepted(job, spec, 1)));
            fold.apply(record(2 * i + 1, placed(job, 7)));
        }
        long bytesAfter = usedHeap();
        System.out.printf(
                "heap of a placed job with 7 tasks: %d bytes (%d jobs)%n",
                (bytesAfter - bytesBefore) / 2_000, fold.jobs().size());
    }

    private static LogRecord record(int offset, JobRecord record) {
        byte[] text = Json.write(JobRecordCodec.write(record));
        return new LogRecord(offset, 0, "r" + offset, Json.read(text, JsonNode.class));
    }

    private static long usedHeap() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            Thread.sleep(100);
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /**
     * Measures the sizes of requests as the HTTP client of the daemon sends them, and of worker
     * reports.
     */
    @Test
    void messageSizes() throws Exception {
        String lease = "job-1234.123456.7890.3";
        Request report = request("GET", "/v1/worker", null);
        System.out.printf("request of a report: %d bytes%n", sentBytes(report));
        for (int leases : new int[] {1, 5}) {
            List<String> names = IntStream.range(0, leases).mapToObj(i -> lease + i).toList();
            Request renewal = request("POST", "/v1/leases/renew", new LeaseRenewal(names, 6_000));
            System.out.printf(
                    "request of a renewal, %d leases: %d bytes%n", leases, sentBytes(renewal));
        }
        for (int leases : new int[] {0, 1, 5}) {
            List<LeaseReport> leaseReports =
                    IntStream.range(0, leases).mapToObj(i -> leaseReport(lease + i)).toList();
            byte[] body =
                    Json.write(new WorkerReport("worker-123", 1_700_000_000_000L, 9, leaseReports));
            System.out.printf("body of a report, %d leases: %d bytes%n", leases, body.length);
        }
        Request listRequest = request("GET", KeeperListRoutes.PATH + "?digest=1a2b3c4d", null);
        System.out.printf("request for the keeper list: %d bytes%n", sentBytes(listRequest));
    }

    private static LeaseReport leaseReport(String lease) {
        TaskReport task = new TaskReport("3", TaskState.RUNNING, 3_600_000L, 3_000_000L);
        return new LeaseReport(
                lease, "job-1234", "job-1234.123456.7890", List.of(0), 4_321, List.of(task));
    }

    private static Request request(String method, String path, Object body) {
        return HttpClient.request(method, "127.0.0.1:1", path, body).build();
    }

    private static int sentBytes(Request request) throws Exception {
        try (ServerSocket server = new ServerSocket(0)) {
            Request local =
                    request.newBuilder()
                            .url(request.url().newBuilder().port(server.getLocalPort()).build())
                            .build();
            Thread sender =
                    new Thread(
                            () -> {
                                try (var response =
                                        new OkHttpClient.Builder()
                                                .callTimeout(Duration.ofMillis(500))
                                                .build()
                                                .newCall(local)
                                                .execute()) {
                                    response.code();
                                } catch (IOException expected) {
                                    // The server never responds.
                                }
                            });
            sender.start();
            try (var socket = server.accept()) {
                int totalBytes = 0;
                byte[] buffer = new byte[4_096];
                for (int n = 0; n >= 0; n = socket.getInputStream().read(buffer)) {
                    totalBytes += n;
                }
                return totalBytes;
            } finally {
                sender.join();
            }
        }
    }

    /**
     * Measures the processor time and the memory of an agent and an entry, with running gangs and
     * without.
     */
    @Test
    void costOfLeaseKeeping() throws Exception {
        for (int workers : new int[] {6, 24}) {
            try (JobTestBed bed = new JobTestBed(1, 2, workers)) {
                for (int i = 0; i < workers; i++) {
                    bed.submit("gang-" + i, JobTestBed.spec(4, 1, 600));
                }
                for (int i = 0; i < workers; i++) {
                    bed.awaitTasksStarted("gang-" + i, 4);
                }
                Thread.sleep(WARM_UP_MILLIS);
                printCost(bed, "agent-0", workers, "with");
                printCost(bed, "entry-0", workers, "with");
                for (int i = 0; i < workers; i++) {
                    bed.call("DELETE", "/v1/jobs/gang-" + i, null);
                }
                Thread.sleep(WARM_UP_MILLIS / 4);
                printCost(bed, "agent-0", workers, "without");
                printCost(bed, "entry-0", workers, "without");
            }
        }
    }

    private static void printCost(JobTestBed bed, String member, int workers, String withOrWithout)
            throws Exception {
        ManagedProcess daemon = bed.daemons.get(member);
        long cpuMillisBefore = daemon.cpuMillis();
        long start = System.nanoTime();
        Thread.sleep(20_000);
        double elapsedMillis = (System.nanoTime() - start) / 1e6;
        double coreShare = (daemon.cpuMillis() - cpuMillisBefore) / elapsedMillis;
        System.out.printf(
                "%s %s gangs on %d workers: %.2f%% of a core, %d KiB resident%n",
                member, withOrWithout, workers, 100 * coreShare, daemon.residentKib());
    }
}
