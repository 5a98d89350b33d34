package org.fescueloom.daemon.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.fescueloom.config.Adjacency;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.ConfigurationFold;
import org.fescueloom.config.ConfigurationRecord;
import org.fescueloom.config.CustomerPolicy;
import org.fescueloom.config.GuaranteedShape;
import org.fescueloom.config.ServiceClass;
import org.fescueloom.config.Zone;
import org.fescueloom.config.ZoneState;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.daemon.settings.Role;
import org.fescueloom.job.GangEnded;
import org.fescueloom.job.GangMember;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.job.GangResult;
import org.fescueloom.job.JobAccepted;
import org.fescueloom.job.JobRecordCodec;
import org.fescueloom.job.JobSpec;
import org.fescueloom.job.JobsFold;
import org.fescueloom.json.Json;
import org.fescueloom.log.LogRecord;
import org.fescueloom.log.StreamFold;
import org.fescueloom.member.MemberTable;
import org.fescueloom.standins.ListenAddress;
import org.fescueloom.standins.log.LogStandIn;
import org.fescueloom.wire.AgentStatus;
import org.fescueloom.wire.Announcement;
import org.fescueloom.wire.MemberKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Measures the time, traffic, CPU time and memory that the cluster takes in each daemon; prints the
 * figures of docs/MEASUREMENTS.md.
 */
@Tag("benchmark")
class ClusterMeasurementsTest {
    /** The number of jobs in a month. */
    private static final int JOBS_PER_MONTH = 11_100;

    /** The number of changes of the configuration in a month. */
    private static final int CHANGES_PER_MONTH = 13_200;

    /** The time for which the traffic of an idle process is counted. */
    private static final int OBSERVATION_SECONDS = 20;

    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(1);
    private final Metrics metrics = new Metrics();
    private final LogStandIn logService = new LogStandIn(ListenAddress.ANY, 100_000, 1_000_000);
    private TcpRelay logRelay;
    private LogClient client;

    /** Folds the "jobs" stream from its first record. */
    private static final class JobsStreamFold implements StreamFold {
        private final JobsFold jobsFold = new JobsFold();

        @Override
        public long nextOffset() {
            return jobsFold.nextOffset();
        }

        @Override
        public void apply(LogRecord record) {
            jobsFold.apply(record);
        }

        @Override
        public void skipTo(long first) {
            assertThat(first).isZero();
        }
    }

    @BeforeEach
    void start() {
        logService.start();
        logRelay = new TcpRelay(logService.address());
        client = new LogClient(List.of(logRelay.address()), executor, metrics);
    }

    @AfterEach
    void close() {
        client.close();
        logRelay.close();
        executor.shutdownNow();
        logService.close();
    }

    private static ConfigurationDocument document(int changeNumber) {
        List<CustomerPolicy> customers =
                IntStream.range(0, 350)
                        .mapToObj(
                                number ->
                                        new CustomerPolicy(
                                                "team-" + number,
                                                0.002,
                                                List.of(
                                                        new GuaranteedShape(
                                                                1 + changeNumber % 2,
                                                                2,
                                                                Adjacency.WORKER))))
                        .toList();
        List<Zone> zones =
                IntStream.range(0, 4)
                        .mapToObj(
                                number ->
                                        new Zone(
                                                "zone-" + number,
                                                null,
                                                ZoneState.IN,
                                                racks(number)))
                        .toList();
        return new ConfigurationDocument(
                List.of(new ServiceClass("culvert", 500, 3, 65_536)), customers, zones);
    }

    private static List<String> racks(int zoneNumber) {
        return IntStream.range(0, 43)
                .mapToObj(rackNumber -> "rack-" + zoneNumber + "-" + rackNumber)
                .toList();
    }

    private <F extends StreamFold> long replay(
            String stream, Supplier<F> factory, long window, F[] result) {
        long bytesBefore = logRelay.bytes();
        long startNanos = System.nanoTime();
        StreamFollower<F> follower =
                new StreamFollower<>(
                        client,
                        stream,
                        factory,
                        window,
                        executor,
                        metrics,
                        new StreamListener<F>() {
                            @Override
                            public void onRead(F fold, boolean caughtUp, long sentAt) {
                                result[0] = fold;
                            }
                        });
        follower.start();
        follower.whenCaughtUp().join();
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        follower.close();
        System.out.printf(
                "replay of %s: %d ms, %d bytes%n", stream, millis, logRelay.bytes() - bytesBefore);
        return millis;
    }

    private void appendAll(String stream, List<JsonNode> payloads) {
        List<CompletableFuture<Long>> futures = new ArrayList<>();
        for (JsonNode p : payloads) {
            futures.add(client.append(stream, p));
            if (futures.size() == 1_000) {
                futures.forEach(CompletableFuture::join);
                futures.clear();
            }
        }
        futures.forEach(CompletableFuture::join);
    }

    @Test
    void replayOfAMonthOfJobs() {
        List<JsonNode> records = new ArrayList<>();
        JobSpec spec =
                new JobSpec(
                        "parks",
                        "culvert",
                        8,
                        1,
                        Adjacency.RACK,
                        4,
                        8_192,
                        7_200,
                        true,
                        false,
                        "reshade --batch 7");
        for (int i = 0; i < JOBS_PER_MONTH; i++) {
            String jobId = "job-" + i;
            List<GangMember> members =
                    IntStream.range(0, 8)
                            .mapToObj(
                                    taskNumber ->
                                            new GangMember(
                                                    jobId + "/" + taskNumber,
                                                    "worker-" + taskNumber,
                                                    "10.0.3." + taskNumber + ":7300",
                                                    "lease-" + taskNumber,
                                                    List.of(taskNumber)))
                            .toList();
            records.add(JobRecordCodec.write(new JobAccepted(jobId, spec, i)));
            records.add(
                    JobRecordCodec.write(
                            new GangPlaced(
                                    jobId, jobId + "-1", 0, members, List.of(), 4, 8_192, 0, 0)));
            records.add(
                    JobRecordCodec.write(
                            new GangEnded(
                                    jobId,
                                    jobId + "-1",
                                    0,
                                    GangResult.SUCCEEDED,
                                    "",
                                    List.of(),
                                    0,
                                    i)));
        }
        appendAll("jobs", records);
        JobsStreamFold[] result = new JobsStreamFold[1];
        replay("jobs", JobsStreamFold::new, StreamFollower.ALL_RECORDS, result);
        assertThat(result[0].jobsFold.jobs()).hasSize(JOBS_PER_MONTH);
        System.out.println("effects: " + result[0].jobsFold.effectCounts());
    }

    @Test
    void replayOfTheConfigurationFromTheLastSnapshot() {
        int changes = 640;
        List<JsonNode> records = new ArrayList<>();
        long version = -1;
        for (int i = 0; i < changes; i++) {
            if (i % ConfigurationSnapshotWriter.SNAPSHOT_INTERVAL_RECORDS == 63) {
                records.add(
                        ConfigurationRecord.snapshot(
                                        version, records.size(), document(i - 1), "entry-1")
                                .payload());
            }
            records.add(ConfigurationRecord.change(version, document(i), "entry-1").payload());
            version = records.size() - 1;
        }
        System.out.printf("document: %d bytes%n", Json.write(document(0)).length);
        appendAll("config", records);
        ConfigurationFold[] result = new ConfigurationFold[1];
        long replayMillis =
                replay("config", ConfigurationFold::new, StreamFollower.ALL_RECORDS, result);
        assertThat(result[0].version()).isEqualTo(version);
        System.out.printf(
                "replay: %.2f ms for a change, %.0f s for %d changes%n",
                (double) replayMillis / changes,
                (double) replayMillis / changes * CHANGES_PER_MONTH / 1e3,
                CHANGES_PER_MONTH);
        replay(
                "config",
                ConfigurationFold::new,
                ConfigurationFollower.REPLAY_WINDOW_RECORDS,
                result);
        assertThat(result[0].version()).isEqualTo(version);
    }

    @Test
    void groupCommitAtTheCallLimitOfTheLog() {
        try (LogStandIn limitedLog = new LogStandIn(ListenAddress.ANY, 100_000, 400)) {
            limitedLog.start();
            LogClient limitedClient =
                    new LogClient(List.of(limitedLog.address()), executor, metrics);
            long calls = metrics.registry().counter("log.append-calls").getCount();
            long startNanos = System.nanoTime();
            List<CompletableFuture<Long>> futures = new ArrayList<>();
            for (int i = 0; i < 4_000; i++) {
                futures.add(limitedClient.append("jobs", Json.tree("record " + i)));
            }
            futures.forEach(CompletableFuture::join);
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            calls = metrics.registry().counter("log.append-calls").getCount() - calls;
            System.out.printf(
                    "group commit: 4000 records in %.2f s, %d calls, %.0f records a second%n",
                    seconds, calls, 4_000 / seconds);
            limitedClient.close();
        }
    }

    @Test
    void bytesOfAnIdleProcess() throws InterruptedException {
        try (TcpRelay entryRelay = new TcpRelay(null);
                ClusterNode entry =
                        new ClusterNode(
                                Role.ENTRY,
                                "entry-1",
                                "zone-1",
                                logService.address(),
                                List.of(),
                                entryRelay);
                ClusterNode agent =
                        new ClusterNode(
                                Role.AGENT,
                                "agent-1",
                                "zone-1",
                                logRelay.address(),
                                List.of(entryRelay.address()))) {
            agent.cluster.setAgentStatus(() -> new AgentStatus("upstream-1", 8, 3, 2, 51_000));
            entry.call("PUT", "/v1/config", document(0), "-1");
            Thread.sleep(2_000);
            long logBytes = logRelay.bytes();
            long announcementBytes = entryRelay.bytes();
            long announcementsSent = agent.counter("announcements.sent");
            Thread.sleep(TimeUnit.SECONDS.toMillis(OBSERVATION_SECONDS));
            announcementsSent = agent.counter("announcements.sent") - announcementsSent;
            announcementBytes = entryRelay.bytes() - announcementBytes;
            logBytes = logRelay.bytes() - logBytes;
            System.out.printf(
                    "idle agent: %d bytes a second for the log, %d for announcements, %d in each%n",
                    logBytes / OBSERVATION_SECONDS,
                    announcementBytes / OBSERVATION_SECONDS,
                    announcementBytes / announcementsSent);
            long bytesBefore = logRelay.bytes();
            entry.call("PUT", "/v1/config", document(1), "0");
            Thread.sleep(1_000);
            System.out.printf(
                    "one change: %d bytes to a follower%n", logRelay.bytes() - bytesBefore);
            cpuOfAnAnnouncement(entry, agent);
        }
    }

    private static void cpuOfAnAnnouncement(ClusterNode entry, ClusterNode agent) {
        Announcement announcement =
                new Announcement(
                        MemberKind.AGENT,
                        "agent-2",
                        1,
                        "127.0.0.1:9",
                        "zone-1",
                        false,
                        entry.version(),
                        new AgentStatus("upstream-2", 8, 3, 2, 51_000),
                        null);
        int callCount = 20_000;
        // The first calls warm up the code and are not measured.
        for (int i = 0; i < callCount; i++) {
            entry.call("POST", AnnouncementClient.PATH, announcement, null);
        }
        long cpuNanosBefore = cpuNanos();
        for (int i = 0; i < callCount; i++) {
            entry.call("POST", AnnouncementClient.PATH, announcement, null);
        }
        System.out.printf(
                "announcement: %.0f us of CPU time, sender and receiver%n",
                (cpuNanos() - cpuNanosBefore) / 1e3 / callCount);
    }

    private static long cpuNanos() {
        return ((com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    @Test
    void memoryOfMembers() {
        int memberCount = 20_000;
        long bytesBefore = usedBytes();
        MemberTable table = new MemberTable();
        for (int i = 0; i < memberCount; i++) {
            table.recordAnnouncement(
                    new Announcement(
                            MemberKind.AGENT,
                            "agent-" + i,
                            1,
                            "10.0.0.1:" + i,
                            // A separate object, which the members do not share.
                            new String("zone-1"),
                            false,
                            7,
                            new AgentStatus("upstream-" + i, 8, 1, 1, 1),
                            null),
                    1);
        }
        System.out.printf("member: %d bytes of heap%n", (usedBytes() - bytesBefore) / memberCount);
        assertThat(table.agents(2)).hasSize(memberCount);
    }

    private static long usedBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
