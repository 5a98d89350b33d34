package org.fescueloom.daemon.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.IntNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.ConfigurationView;
import org.fescueloom.config.ServiceClass;
import org.fescueloom.config.Zone;
import org.fescueloom.config.ZoneState;
import org.fescueloom.daemon.http.HttpClientResponse;
import org.fescueloom.daemon.settings.Role;
import org.fescueloom.failure.FailureType;
import org.fescueloom.member.Member;
import org.fescueloom.report.StatusReport;
import org.fescueloom.report.VersionReport;
import org.fescueloom.report.ZoneChangeReport;
import org.fescueloom.standins.Fault;
import org.fescueloom.standins.FaultKind;
import org.fescueloom.standins.Faults;
import org.fescueloom.standins.ListenAddress;
import org.fescueloom.standins.log.LogStandIn;
import org.fescueloom.wire.Announcement;
import org.fescueloom.wire.MemberKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the clusters of several daemons against a stand-in for the log service. */
class ClusterTest {
    private static final String ZONE = "harbor-shed";
    private static final long AWAIT_TIMEOUT_MILLIS = 15_000L;

    private final LogStandIn logService = new LogStandIn(ListenAddress.ANY, 10_000, 400);
    private final List<AutoCloseable> closeables = new ArrayList<>();

    /** The address of the first node; the settings of later nodes contain it as an entry. */
    private String seedAddress;

    @BeforeEach
    void startLog() {
        logService.start();
    }

    @AfterEach
    void close() throws Exception {
        for (int i = closeables.size() - 1; i >= 0; i--) {
            closeables.get(i).close();
        }
        logService.close();
    }

    private ClusterNode startNode(Role role, String memberId) {
        return startNode(role, memberId, logService.address());
    }

    private ClusterNode startNode(Role role, String memberId, String logAddress) {
        List<String> entryAddresses = seedAddress == null ? List.of() : List.of(seedAddress);
        ClusterNode node = new ClusterNode(role, memberId, ZONE, logAddress, entryAddresses);
        closeables.add(node);
        if (seedAddress == null) {
            seedAddress = node.address();
        }
        return node;
    }

    private TcpRelay startRelay(String target) {
        TcpRelay relay = new TcpRelay(target);
        closeables.add(relay);
        return relay;
    }

    private static ConfigurationDocument documentWithClass(String serviceClass) {
        return new ConfigurationDocument(
                List.of(new ServiceClass(serviceClass, 1_000, 1, 1_024)),
                null,
                List.of(new Zone(ZONE, null, ZoneState.IN, null)));
    }

    private static void await(String description, BooleanSupplier condition) {
        long deadline = Clocks.monotonicMillis() + AWAIT_TIMEOUT_MILLIS;
        while (!condition.getAsBoolean()) {
            assertThat(Clocks.monotonicMillis()).as(description).isLessThan(deadline);
            sleep(20);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static long publish(ClusterNode node, long baseVersion, String serviceClass) {
        HttpClientResponse response =
                node.call(
                        "PUT",
                        "/v1/config",
                        documentWithClass(serviceClass),
                        "\"" + baseVersion + "\"");
        assertThat(response.status()).as(new String(response.body())).isEqualTo(200);
        return response.read(VersionReport.class).version();
    }

    private static boolean isRefused(ClusterNode node, FailureType type) {
        return node.cluster
                .zoneGate()
                .refusal(ZONE, Clocks.monotonicMillis())
                .filter(refusal -> refusal == type)
                .isPresent();
    }

    private static boolean isAllowed(ClusterNode node) {
        return node.cluster.zoneGate().refusal(ZONE, Clocks.monotonicMillis()).isEmpty();
    }

    private static Faults faults(Fault... faults) {
        return Faults.of(faults);
    }

    @Nested
    class Publishing {
        @Test
        void acceptsOneOfTwoConcurrentChangesAndRefusesTheOther() {
            ClusterNode firstEntry = startNode(Role.ENTRY, "entry-1");
            ClusterNode secondEntry = startNode(Role.ENTRY, "entry-2");
            await(
                    "both entries are ready",
                    () -> firstEntry.cluster.isReady() && secondEntry.cluster.isReady());
            CompletableFuture<HttpClientResponse> firstResponse =
                    firstEntry.send("PUT", "/v1/config", documentWithClass("left"), "-1");
            CompletableFuture<HttpClientResponse> secondResponse =
                    secondEntry.send("PUT", "/v1/config", documentWithClass("right"), "-1");
            assertThat(List.of(firstResponse.join().status(), secondResponse.join().status()))
                    .containsExactlyInAnyOrder(200, 412);
            await(
                    "both entries have the same version",
                    () ->
                            firstEntry.version() >= 0
                                    && firstEntry.version() == secondEntry.version());
            assertThat(firstEntry.cluster.configurationView().document())
                    .isEqualTo(secondEntry.cluster.configurationView().document());
        }

        @Test
        void reportsNoConflictWithItsOwnChangeWhenLogResponsesAreLost() {
            ClusterNode entry = startNode(Role.ENTRY, "entry-1");
            publish(entry, -1, "first");
            logService.faults(faults(Fault.always(FaultKind.LOSE_ANSWER).withProbability(0.3)));
            for (int i = 0; i < 10; i++) {
                long baseVersion = entry.version();
                HttpClientResponse response =
                        entry.call(
                                "PUT",
                                "/v1/config",
                                documentWithClass("n" + i),
                                "\"" + baseVersion + "\"");
                assertThat(response.status()).isIn(200, 503, 504);
                if (response.status() == 200) {
                    assertThat(entry.version()).isGreaterThan(baseVersion);
                    assertThat(entry.cluster.configurationView().document())
                            .isEqualTo(documentWithClass("n" + i));
                }
            }
            logService.faults(Faults.NONE);
            assertThat(publish(entry, entry.version(), "last")).isEqualTo(entry.version());
        }

        @Test
        void listsTheFaultsOfARefusedDocument() {
            ClusterNode entry = startNode(Role.ENTRY, "entry-1");
            HttpClientResponse response =
                    entry.call("PUT", "/v1/config", documentWithClass("a b"), "-1");
            assertThat(response.status()).isEqualTo(422);
            assertThat(new String(response.body())).contains("classes[0].name", "invalid-config");
            assertThat(entry.call("PUT", "/v1/config", documentWithClass("a"), null).status())
                    .isEqualTo(400);
        }

        @Test
        void failsWhileTheLogIsDownAndSucceedsWhileItIsSlow() {
            ClusterNode entry = startNode(Role.ENTRY, "entry-1");
            long firstVersion = publish(entry, -1, "first");
            logService.faults(faults(Fault.always(FaultKind.REFUSE)));
            HttpClientResponse response =
                    entry.call("PUT", "/v1/config", documentWithClass("x"), "" + firstVersion);
            assertThat(response.status()).isEqualTo(503);
            logService.faults(faults(Fault.delay(300)));
            assertThat(publish(entry, firstVersion, "second")).isGreaterThan(firstVersion);
        }
    }

    @Nested
    class Outage {
        @Test
        void aNewProcessLearnsTheNewestVersionFromItsPeers() {
            ClusterNode entry = startNode(Role.ENTRY, "entry-1");
            publish(entry, -1, "first");
            long version = publish(entry, entry.version(), "second");
            logService.faults(faults(Fault.always(FaultKind.REFUSE)));
            ClusterNode newEntry = startNode(Role.ENTRY, "entry-2");
            await("the new entry has the version", () -> newEntry.version() == version);
            logService.expire(0);
            logService.faults(Faults.NONE);
            await("the new entry reaches the log", () -> newEntry.cluster.isLogReachable());
            ClusterNode agent = startNode(Role.AGENT, "agent-1");
            await(
                    "the agent has the version, after its record has expired",
                    () -> agent.version() == version);
            long nextVersion = publish(newEntry, version, "third");
            await(
                    "the next version is in force",
                    () -> agent.version() == nextVersion && entry.version() == nextVersion);
        }

        @Test
        void workIsAllowedWhileAllEntriesReportThatTheLogIsDown() {
            ClusterNode entry = startNode(Role.ENTRY, "entry-1");
            ClusterNode otherEntry = startNode(Role.ENTRY, "entry-2");
            ClusterNode agent = startNode(Role.AGENT, "agent-1");
            publish(entry, -1, "first");
            await("work is allowed", () -> isAllowed(agent));
            logService.faults(faults(Fault.always(FaultKind.REFUSE)));
            await(
                    "no entry reaches the log",
                    () -> !entry.cluster.isLogReachable() && !otherEntry.cluster.isLogReachable());
            // Longer than a view of the configuration may be old for work to start.
            sleep(4_000);
            ConfigurationView view = agent.cluster.configurationView();
            assertThat(view.ageMillis(Clocks.monotonicMillis())).isGreaterThan(3_000L);
            assertThat(isAllowed(agent)).isTrue();
            logService.faults(Faults.NONE);
            HttpClientResponse response =
                    entry.call("PUT", "/v1/zones/" + ZONE, Map.of("state", "out"), null);
            assertThat(response.read(ZoneChangeReport.class).inForce()).isTrue();
            assertThat(isRefused(agent, FailureType.ZONE_OUT)).isTrue();
        }

        @Test
        void aProcessCutOffOnlyFromTheLogFollowsItsPeers() {
            ClusterNode entry = startNode(Role.ENTRY, "entry-1");
            TcpRelay logRelay = startRelay(logService.address());
            ClusterNode agent = startNode(Role.AGENT, "agent-1", logRelay.address());
            publish(entry, -1, "first");
            await("work is allowed", () -> isAllowed(agent));
            logRelay.setCut(true);
            await("the agent does not reach the log", () -> !agent.cluster.isLogReachable());
            // Longer than a view of the configuration may be old for work to start.
            sleep(3_500);
            assertThat(isAllowed(agent)).isTrue();
            HttpClientResponse response =
                    entry.call("PUT", "/v1/zones/" + ZONE, Map.of("state", "out"), null);
            assertThat(response.read(ZoneChangeReport.class).inForce()).isTrue();
            assertThat(isRefused(agent, FailureType.ZONE_OUT)).isTrue();
        }

        @Test
        void aProcessCutOffFromLogAndPeersRefusesWorkWithinThreeSeconds() {
            TcpRelay entryRelay = startRelay(null);
            seedAddress = entryRelay.address();
            ClusterNode entry =
                    new ClusterNode(
                            Role.ENTRY,
                            "entry-1",
                            ZONE,
                            logService.address(),
                            List.of(),
                            entryRelay);
            closeables.add(entry);
            TcpRelay logRelay = startRelay(logService.address());
            ClusterNode agent = startNode(Role.AGENT, "agent-1", logRelay.address());
            publish(entry, -1, "first");
            await("work is allowed", () -> isAllowed(agent));
            logRelay.setCut(true);
            entryRelay.setCut(true);
            long cutAtMillis = Clocks.monotonicMillis();
            await(
                    "the view of the agent is too old",
                    () -> isRefused(agent, FailureType.ZONE_VIEW_STALE));
            assertThat(Clocks.monotonicMillis() - cutAtMillis).isLessThan(3_500L);
            entryRelay.setCut(false);
            await("work is allowed again", () -> isAllowed(agent));
        }
    }

    @Nested
    class LostState {
        @Test
        void isWrittenToTheLogAgainAndReadByNewProcesses() {
            ClusterNode entry = startNode(Role.ENTRY, "entry-1");
            long version = publish(entry, -1, "first");
            logService.faults(faults(Fault.always(FaultKind.REFUSE)));
            ClusterNode otherEntry = startNode(Role.ENTRY, "entry-2");
            await("the other entry has the version", () -> otherEntry.version() == version);
            entry.cluster.close();
            logService.expire(0);
            logService.faults(Faults.NONE);
            await(
                    "the other entry writes a snapshot",
                    () -> otherEntry.counter("config.snapshots") > 0);
            ClusterNode agent =
                    new ClusterNode(Role.AGENT, "agent-1", ZONE, logService.address(), List.of());
            closeables.add(agent);
            await("the agent has the version from the log", () -> agent.version() == version);
        }
    }

    @Nested
    class Members {
        @Test
        void areKnownToAllEntriesAndAcceptNoNewWorkWhenTheyDrain() {
            ClusterNode firstEntry = startNode(Role.ENTRY, "entry-1");
            ClusterNode secondEntry = startNode(Role.ENTRY, "entry-2");
            ClusterNode agent = startNode(Role.AGENT, "agent-1");
            await(
                    "both entries know the agent",
                    () ->
                            acceptsNewWork(firstEntry, "agent-1")
                                    && acceptsNewWork(secondEntry, "agent-1"));
            agent.cluster.drain();
            await(
                    "the agent accepts no new work",
                    () ->
                            !acceptsNewWork(firstEntry, "agent-1")
                                    && !acceptsNewWork(secondEntry, "agent-1"));
            StatusReport status =
                    firstEntry.call("GET", "/v1/status", null, null).read(StatusReport.class);
            assertThat(status.members()).hasSize(2);
            assertThat(agent.call("GET", "/health/ready", null, null).status()).isEqualTo(503);
        }

        @Test
        void thatHaveNotConfirmedAChangeAreListed() {
            ClusterNode entry = startNode(Role.ENTRY, "entry-1");
            publish(entry, -1, "first");
            Announcement announcement =
                    new Announcement(
                            MemberKind.AGENT,
                            "agent-9",
                            1,
                            "127.0.0.1:9",
                            ZONE,
                            false,
                            0,
                            null,
                            null);
            entry.call("POST", AnnouncementClient.PATH, announcement, null);
            ZoneChangeReport report =
                    entry.call("PUT", "/v1/zones/" + ZONE, Map.of("state", "out"), null)
                            .read(ZoneChangeReport.class);
            assertThat(report.inForce()).isFalse();
            assertThat(report.unconfirmed()).containsExactly("agent-9");
            assertThat(entry.call("PUT", "/v1/zones/x", Map.of("state", "out"), null).status())
                    .isEqualTo(404);
        }

        private boolean acceptsNewWork(ClusterNode entry, String memberId) {
            return entry.cluster
                    .members()
                    .find(memberId, Clocks.monotonicMillis())
                    .filter(Member::acceptsNewWork)
                    .isPresent();
        }
    }

    @Nested
    class Replacement {
        @Test
        void ofAllEntriesOneByOneStopsNoWorkAndLosesNoVersion() throws Exception {
            List<ClusterNode> entries = new ArrayList<>();
            entries.add(startNode(Role.ENTRY, "entry-0"));
            entries.add(startNode(Role.ENTRY, "entry-1"));
            ClusterNode agent = startNode(Role.AGENT, "agent-1");
            long version = publish(entries.get(0), -1, "first");
            await("work is allowed", () -> isAllowed(agent));
            for (int i = 2; i < 5; i++) {
                seedAddress = entries.get(entries.size() - 1).address();
                ClusterNode newEntry = startNode(Role.ENTRY, "entry-" + i);
                long currentVersion = version;
                await("the new entry has the version", () -> newEntry.version() == currentVersion);
                await(
                        "the agent knows the new entry",
                        () ->
                                agent.cluster
                                        .directory()
                                        .announcementTargets()
                                        .contains(newEntry.address()));
                ClusterNode oldEntry = entries.remove(0);
                closeables.remove(oldEntry);
                oldEntry.close();
                entries.add(newEntry);
                version = publish(newEntry, version, "v" + i);
                long nextVersion = version;
                await("the agent has the next version", () -> agent.version() == nextVersion);
                assertThat(isAllowed(agent)).isTrue();
            }
        }
    }

    @Nested
    class CorruptRecords {
        @Test
        void areSkippedAndCounted() {
            ClusterNode entry = startNode(Role.ENTRY, "entry-1");
            publish(entry, -1, "first");
            entry.cluster.logClient().append("config", new IntNode(7)).join();
            long version = publish(entry, entry.version(), "second");
            assertThat(version).isEqualTo(2);
            assertThat(entry.counter("config.records.corrupt")).isEqualTo(1);
        }
    }
}
