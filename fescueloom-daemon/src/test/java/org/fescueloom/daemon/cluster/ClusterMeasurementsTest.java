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

/** Measures what the shared parts cost; prints the figures of docs/MEASUREMENTS.md. */
@Tag("benchmark")
class ClusterMeasurementsTest {
    private static final int JOBS_PER_MONTH = 11_100;
    private static final int CHANGES_PER_MONTH = 13_200;
    private static final int OBSERVATION_SECONDS = 20;

    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(1);
    private final Metrics metrics = new Metrics();
    private final LogStandIn log = new LogStandIn(ListenAddress.ANY, 100_000, 1_000_000);
    private TcpRelay relay;
    private LogClient client;

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
        log.start();
        relay = new TcpRelay(log.address());
        client = new LogClient(List.of(relay.address()), executor, metrics);
    }

    @AfterEach
    void close() {
        client.close();
        relay.close();
        executor.shutdownNow();
        log.close();
    }

    private static ConfigurationDocument document(int change) {
        List<CustomerPolicy> customers =
                IntStream.range(0, 350)
                        .mapToObj(
                                i ->
                                        new CustomerPolicy(
                                                "team-" + i,
                                                0.002,
                                                List.of(
                                                        new GuaranteedShape(
                                                                1 + change % 2,
                                                                2,
                                                                Adjacency.WORKER))))
                        .toList();
        List<Zone> zones =
                IntStream.range(0, 4)
                        .mapToObj(i -> new Zone("zone-" + i, null, ZoneState.IN, racks(i)))
                        .toList();
        return new ConfigurationDocument(
                List.of(new ServiceClass("culvert", 500, 3, 65_536)), customers, zones);
    }

    private static List<String> racks(int zone) {
        return IntStream.range(0, 43).mapToObj(i -> "rack-" + zone + "-" + i).toList();
    }

    private <F extends StreamFold> long replay(
            String stream, Supplier<F> factory, long window, F[] result) {
        long bytes = relay.bytes();
        long start = System.nanoTime();
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
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        follower.close();
        System.out.printf("replay of %s: %d ms, %d bytes%n", stream, millis, relay.bytes() - bytes);
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
            String job = "job-" + i;
            List<GangMember> members =
                    IntStream.range(0, 8)
                            .mapToObj(
                                    t ->
                                            new GangMember(
                                                    job + "/" + t,
                                                    "worker-" + t,
                                                    "10.0.3." + t + ":7300",
                                                    "lease-" + t,
                                                    List.of(t)))
                            .toList();
            records.add(JobRecordCodec.write(new JobAccepted(job, spec, i)));
            records.add(
                    JobRecordCodec.write(
                            new GangPlaced(
                                    job, job + "-1", 0, members, List.of(), 4, 8_192, 0, 0)));
            records.add(
                    JobRecordCodec.write(
                            new GangEnded(
                                    job,
                                    job + "-1",
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
        long all = replay("config", ConfigurationFold::new, StreamFollower.ALL_RECORDS, result);
        assertThat(result[0].version()).isEqualTo(version);
        System.out.printf(
                "slope: %.2f ms a change, %.0f s for %d%n",
                (double) all / changes,
                (double) all / changes * CHANGES_PER_MONTH / 1e3,
                CHANGES_PER_MONTH);
        replay(
                "config",
                ConfigurationFold::new,
                ConfigurationFollower.REPLAY_WINDOW_RECORDS,
                result);
        assertThat(result[0].version()).isEqualTo(version);
    }

    @Test
    void appendsOfAGroupAtTheLimitOfTheLog() {
        try (LogStandIn limited = new LogStandIn(ListenAddress.ANY, 100_000, 400)) {
            limited.start();
            LogClient slow = new LogClient(List.of(limited.address()), executor, metrics);
            long calls = metrics.registry().counter("log.append-calls").getCount();
            long start = System.nanoTime();
            List<CompletableFuture<Long>> done = new ArrayList<>();
            for (int i = 0; i < 4_000; i++) {
                done.add(slow.append("jobs", Json.tree("record " + i)));
            }
            done.forEach(CompletableFuture::join);
            double seconds = (System.nanoTime() - start) / 1e9;
            calls = metrics.registry().counter("log.append-calls").getCount() - calls;
            System.out.printf(
                    "group commit: 4000 records in %.2f s, %d calls, %.0f records a second%n",
                    seconds, calls, 4_000 / seconds);
            slow.close();
        }
    }

    @Test
    void bytesOfAQuietProcess() throws InterruptedException {
        try (TcpRelay toEntry = new TcpRelay(null);
                ClusterNode entry =
                        new ClusterNode(
                                Role.ENTRY,
                                "entry-1",
                                "zone-1",
                                log.address(),
                                List.of(),
                                toEntry);
                ClusterNode agent =
                        new ClusterNode(
                                Role.AGENT,
                                "agent-1",
                                "zone-1",
                                relay.address(),
                                List.of(toEntry.address()))) {
            agent.cluster.setAgentStatus(() -> new AgentStatus("upstream-1", 8, 3, 2, 51_000));
            entry.call("PUT", "/v1/config", document(0), "-1");
            Thread.sleep(2_000);
            long poll = relay.bytes();
            long announce = toEntry.bytes();
            long sent = agent.counter("announcements.sent");
            Thread.sleep(TimeUnit.SECONDS.toMillis(OBSERVATION_SECONDS));
            sent = agent.counter("announcements.sent") - sent;
            announce = toEntry.bytes() - announce;
            poll = relay.bytes() - poll;
            System.out.printf(
                    "quiet agent: %d bytes a second for the log, %d for announcements, %d a call%n",
                    poll / OBSERVATION_SECONDS, announce / OBSERVATION_SECONDS, announce / sent);
            long before = relay.bytes();
            entry.call("PUT", "/v1/config", document(1), "0");
            Thread.sleep(1_000);
            System.out.printf("one change: %d bytes to a follower%n", relay.bytes() - before);
            cpuOfAnAnnouncement(entry, agent);
        }
    }

    private static void cpuOfAnAnnouncement(ClusterNode entry, ClusterNode agent) {
        Announcement a =
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
        int warm = 20_000;
        for (int i = 0; i < warm; i++) {
            entry.call("POST", AnnouncementClient.PATH, a, null);
        }
        long cpu = cpuNanos();
        for (int i = 0; i < warm; i++) {
            entry.call("POST", AnnouncementClient.PATH, a, null);
        }
        System.out.printf(
                "announcement: %.0f us of processor time, both ends%n",
                (cpuNanos() - cpu) / 1e3 / warm);
    }

    private static long cpuNanos() {
        return ((com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    @Test
    void memoryOfMembers() {
        int count = 20_000;
        long before = usedBytes();
        MemberTable table = new MemberTable();
        for (int i = 0; i < count; i++) {
            table.recordAnnouncement(
                    new Announcement(
                            MemberKind.AGENT,
                            "agent-" + i,
                            1,
                            "10.0.0.1:" + i,
                            new String("zone-1"),
                            false,
                            7,
                            new AgentStatus("upstream-" + i, 8, 1, 1, 1),
                            null),
                    1);
        }
        System.out.printf("member: %d bytes of heap%n", (usedBytes() - before) / count);
        assertThat(table.agents(2)).hasSize(count);
    }

    private static long usedBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
