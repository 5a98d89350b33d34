package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.ListeningSocket;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.FleetConfiguration;
import org.fescueloom.fleet.QueuePolicy;
import org.fescueloom.work.JobStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EntryNodeTest {
    private static final long WAIT_SECONDS = 30;
    private static final DispatchTimings TIMINGS =
            new DispatchTimings(7_000, 6_000, 1_800, 60_000, 1_000);
    private static final LogPartition OPERATOR_LOG = new LogPartition("keyed.op", 0);

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final List<Entry> entries = new ArrayList<>();

    /**
     * Decodes every record to a configuration with one queue, whose version is the length of the
     * value.
     */
    private static final class OneQueueDecoder implements OperatorRecordDecoder {
        @Override
        public Optional<FleetConfiguration> configuration(KeyedRecord operatorRecord) {
            return Optional.of(
                    new FleetConfiguration(
                            operatorRecord.value().length,
                            List.of(new QueuePolicy("q", "h", "/", "s", 0, 1, 2, 0, true, false)),
                            List.of()));
        }

        @Override
        public Optional<String> zone(String key) {
            return Optional.empty();
        }
    }

    /** Stores a record that {@link OneQueueDecoder} decodes to a configuration of a version. */
    private void storeConfiguration(int version) {
        log.append(
                OPERATOR_LOG,
                List.of(new KeyedRecord("config", new byte[version])),
                KeyedLog.ANY_END,
                Duration.ZERO);
    }

    /** Runs one entry on the loopback address. */
    private final class Entry {
        private final HttpServer server;
        private final ScheduledExecutorService loop = Timers.singleThread("entry");
        private final ScheduledExecutorService followerLoop = Timers.singleThread("follower");
        private final FaultInjectingLog ownLog = new FaultInjectingLog(log);
        private FleetFollower follower;
        private EntryNode node;

        private final String address;

        Entry(ListeningSocket socket) {
            address = socket.address();
            server = new HttpServer(socket, 1 << 20);
        }

        void start(List<String> seeds) {
            Metrics metrics = new Metrics();
            follower =
                    new FleetFollower(
                            ownLog, OPERATOR_LOG, new OneQueueDecoder(), followerLoop, metrics);
            node =
                    new EntryNode(
                            address,
                            1,
                            seeds,
                            new LogAccess(ownLog, 4),
                            TIMINGS,
                            loop,
                            follower,
                            metrics);
            node.routes(server);
            follower.start();
            server.start();
            node.start();
        }

        void kill() {
            server.close();
            node.close();
            follower.close();
            loop.shutdownNow();
            followerLoop.shutdownNow();
        }
    }

    @BeforeEach
    void startThreeEntries() throws Exception {
        storeConfiguration(1);
        for (int i = 0; i < 3; i++) {
            // An open socket holds its port, which another process could take otherwise.
            entries.add(new Entry(ListeningSocket.open("127.0.0.1:0")));
        }
        List<String> seeds = entries.stream().map(entry -> entry.address).toList();
        entries.forEach(entry -> entry.start(seeds));
    }

    @AfterEach
    void stop() {
        entries.forEach(Entry::kill);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        Polling.await(condition, WAIT_SECONDS);
    }

    private static boolean accepts(Entry entry, String id) {
        CompletableFuture<Void> accepted =
                entry.node.jobApi().submit(JobSamples.singleTask(id), 2_500);
        return accepted.handle((value, error) -> error == null).join();
    }

    private Entry dispatcher() throws InterruptedException {
        await(() -> entries.stream().filter(e -> e.node.isDispatcher()).count() == 1);
        return entries.stream().filter(e -> e.node.isDispatcher()).findFirst().orElseThrow();
    }

    @Nested
    class Election {
        @Test
        void choosesOneDispatcherAndAllEntriesAcceptJobs() throws InterruptedException {
            dispatcher();

            for (int i = 0; i < 3; i++) {
                Entry entry = entries.get(i);
                String id = "job-" + i;
                await(() -> accepts(entry, id));
            }
        }

        @Test
        void choosesAnotherEntryAfterTheDispatcherIsKilled() throws InterruptedException {
            Entry first = dispatcher();
            await(() -> accepts(first, "before"));
            entries.remove(first);
            first.kill();

            Entry second = dispatcher();

            assertThat(second).isNotSameAs(first);
            await(() -> accepts(entries.get(0), "after"));
        }
    }

    @Nested
    class Restart {
        @Test
        void ofTheDispatcherAtItsOldAddressLeadsToANewDispatcher() throws Exception {
            Entry first = dispatcher();
            await(() -> entries.stream().allMatch(e -> e.node.ready()));
            List<String> others =
                    entries.stream().filter(e -> e != first).map(e -> e.address).toList();
            entries.remove(first);
            first.kill();
            Entry restarted = new Entry(ListeningSocket.open(first.address));
            entries.add(restarted);
            restarted.start(others);

            await(() -> accepts(entries.get(0), "after"));
            assertThat(dispatcher()).isNotSameAs(first);
        }
    }

    @Nested
    class LogUnreachableFromOneEntry {
        /**
         * Guards against incident 18: an entry that could not reach the log service kept its old
         * configuration.
         */
        @Test
        void adoptsTheConfigurationOfItsPeers() throws InterruptedException {
            dispatcher();
            await(() -> entries.stream().allMatch(e -> e.node.ready()));
            for (int i = 0; i < 3; i++) {
                Entry entry = entries.get(i);
                entry.ownLog.setClosed(true);
                await(entry.follower::logFailing);
                int version = 2 + i;
                storeConfiguration(version);

                await(() -> entry.follower.view().version() == version);
                await(entry.follower::viewCurrent);
                assertThat(entry.follower.logFailing()).isTrue();
                assertThat(entry.node.ready()).isTrue();
                entry.ownLog.setClosed(false);
                await(() -> !entry.follower.logFailing());
            }
        }

        /**
         * Guards against incident 18: all attempts of a caller went to an entry that was cut off.
         */
        @Test
        void isNotReadyOnceNoPeerResponds() throws InterruptedException {
            Entry first = dispatcher();
            await(() -> entries.stream().allMatch(e -> e.node.ready()));
            List<Entry> others = entries.stream().filter(e -> e != first).toList();
            entries.removeAll(others);
            others.forEach(Entry::kill);
            assertThat(first.node.ready()).isTrue();
            first.ownLog.setClosed(true);

            await(() -> !first.node.ready());
            first.ownLog.setClosed(false);
            await(first.node::ready);
        }
    }

    @Nested
    class LogOutage {
        private static final long OUTAGE_MILLIS = 4_000;

        /** Guards against incident 21: entries replaced a live dispatcher. */
        @Test
        void forAllEntriesKeepsTheDispatcher() throws InterruptedException {
            Entry first = dispatcher();
            await(() -> entries.stream().allMatch(e -> e.node.ready()));
            long claimsBefore = claimCount();
            entries.forEach(e -> e.ownLog.setClosed(true));
            Thread.sleep(OUTAGE_MILLIS);
            entries.forEach(e -> e.ownLog.setClosed(false));

            for (int i = 0; i < 20; i++) {
                Entry entry = entries.get(i % 3);
                String id = "job-" + i;
                await(() -> accepts(entry, id));
            }
            await(() -> entries.stream().noneMatch(e -> e.follower.logFailing()));
            Thread.sleep(OUTAGE_MILLIS / 2);
            assertThat(dispatcher()).isSameAs(first);
            assertThat(claimCount()).isEqualTo(claimsBefore);
        }

        private long claimCount() {
            return log.records(JobStore.LOG).stream()
                    .filter(r -> r.key().equals(JobStore.CLAIM_KEY))
                    .count();
        }
    }

    @Nested
    class NoDispatcher {
        @BeforeEach
        void killTheDispatcher() throws InterruptedException {
            Entry first = dispatcher();
            await(() -> entries.stream().allMatch(e -> e.node.ready()));
            entries.forEach(e -> e.ownLog.setClaimsRefused(true));
            entries.remove(first);
            first.kill();
        }

        private void allowClaims() throws InterruptedException {
            assertThat(entries).noneMatch(e -> e.node.isDispatcher());
            entries.forEach(e -> e.ownLog.setClaimsRefused(false));
            dispatcher();
        }

        private JobStatus jobStatus(Entry entry, String id) {
            return entry.node
                    .jobApi()
                    .status(id, WAIT_SECONDS * 1_000)
                    .exceptionally(error -> null)
                    .join();
        }

        /** Guards against incident 24: jobs were lost during the election of a dispatcher. */
        @Test
        void jobsAreAccepted() throws InterruptedException {
            for (int i = 0; i < 4; i++) {
                assertThat(accepts(entries.get(i % 2), "job-" + i)).isTrue();
            }

            allowClaims();

            for (int i = 0; i < 4; i++) {
                Entry entry = entries.get(i % 2);
                String id = "job-" + i;
                await(() -> jobStatus(entry, id) == JobStatus.QUEUED);
            }
        }

        /**
         * Guards against incident 24: cancellations were not answered during the election of a
         * dispatcher.
         */
        @Test
        void jobsAreCancelled() throws InterruptedException {
            JobApi jobs = entries.get(0).node.jobApi();
            assertThat(accepts(entries.get(1), "job")).isTrue();
            assertThat(jobs.cancel("job", 2_500).exceptionally(error -> false).join()).isTrue();

            allowClaims();

            await(() -> jobStatus(entries.get(1), "job") == JobStatus.CANCELLED);
        }
    }

    @Nested
    class Shutdown {
        @Test
        void ofTheDispatcherLeadsToANewDispatcher() throws InterruptedException {
            Entry first = dispatcher();
            first.node.announceShutdown();

            await(() -> !first.node.isDispatcher());
            await(() -> entries.stream().anyMatch(e -> e != first && e.node.isDispatcher()));
        }

        @Test
        void ofAllEntriesKeepsADispatcherAndAcceptsJobs() throws InterruptedException {
            dispatcher();
            await(() -> entries.stream().allMatch(e -> e.node.ready()));
            entries.forEach(e -> e.node.announceShutdown());

            for (int i = 0; i < 20; i++) {
                assertThat(accepts(entries.get(i % 3), "job-" + i)).isTrue();
                Thread.sleep(100);
            }
            assertThat(dispatcher()).isNotNull();
        }
    }
}
