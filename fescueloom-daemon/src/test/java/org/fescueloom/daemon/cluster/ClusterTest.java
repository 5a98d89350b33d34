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

class ClusterTest {
    private static final String ZONE = "harbor-shed";
    private static final long AWAIT_TIMEOUT_MILLIS = 15_000L;

    private final LogStandIn log = new LogStandIn(ListenAddress.ANY, 10_000, 400);
    private final List<AutoCloseable> closeables = new ArrayList<>();
    private String seedAddress;

    @BeforeEach
    void startLog() {
        log.start();
    }

    @AfterEach
    void close() throws Exception {
        for (int i = closeables.size() - 1; i >= 0; i--) {
            closeables.get(i).close();
        }
        log.close();
    }

    private ClusterNode startNode(Role role, String member) {
        return startNode(role, member, log.address());
    }

    private ClusterNode startNode(Role role, String member, String logAddress) {
        List<String> seeds = seedAddress == null ? List.of() : List.of(seedAddress);
        ClusterNode node = new ClusterNode(role, member, ZONE, logAddress, seeds);
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

    private static ConfigurationDocument document(String name) {
        return new ConfigurationDocument(
                List.of(new ServiceClass(name, 1_000, 1, 1_024)),
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

    private static long publish(ClusterNode node, long base, String name) {
        HttpClientResponse response =
                node.call("PUT", "/v1/config", document(name), "\"" + base + "\"");
        assertThat(response.status()).as(new String(response.body())).isEqualTo(200);
        return response.read(VersionReport.class).version();
    }

    private static boolean isRefused(ClusterNode node, FailureType type) {
        return node.cluster
                .zoneGate()
                .refusal(ZONE, Clocks.monotonicMillis())
                .filter(t -> t == type)
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
                    "both ready",
                    () -> firstEntry.cluster.isReady() && secondEntry.cluster.isReady());
            CompletableFuture<HttpClientResponse> firstResponse =
                    firstEntry.send("PUT", "/v1/config", document("left"), "-1");
            CompletableFuture<HttpClientResponse> secondResponse =
                    secondEntry.send("PUT", "/v1/config", document("right"), "-1");
            assertThat(List.of(firstResponse.join().status(), secondResponse.join().status()))
                    .containsExactlyInAnyOrder(200, 412);
            await(
                    "one version",
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
            log.faults(faults(Fault.always(FaultKind.LOSE_ANSWER).withProbability(0.3)));
            for (int i = 0; i < 10; i++) {
                long base = entry.version();
                HttpClientResponse response =
                        entry.call("PUT", "/v1/config", document("n" + i), "\"" + base + "\"");
                assertThat(response.status()).isIn(200, 503, 504);
                if (response.status() == 200) {
                    assertThat(entry.version()).isGreaterThan(base);
                    assertThat(entry.cluster.configurationView().document())
                            .isEqualTo(document("n" + i));
                }
            }
            log.faults(Faults.NONE);
            assertThat(publish(entry, entry.version(), "last")).isEqualTo(entry.version());
        }

        @Test
        void listsTheFaultsOfARefusedDocument() {
            ClusterNode entry = startNode(Role.ENTRY, "entry-1");
            HttpClientResponse response = entry.call("PUT", "/v1/config", document("a b"), "-1");
            assertThat(response.status()).isEqualTo(422);
            assertThat(new String(response.body())).contains("classes[0].name", "invalid-config");
            assertThat(entry.call("PUT", "/v1/config", document("a"), null).status())
                    .isEqualTo(400);
        }

        @Test
        void failsWhileTheLogIsDownAndSucceedsWhileItIsSlow() {
            ClusterNode entry = startNode(Role.ENTRY, "entry-1");
            long first = publish(entry, -1, "first");
            log.faults(faults(Fault.always(FaultKind.REFUSE)));
            HttpClientResponse response =
                    entry.call("PUT", "/v1/config", document("x"), "" + first);
            assertThat(response.status()).isEqualTo(503);
            log.faults(faults(Fault.delay(300)));
            assertThat(publish(entry, first, "second")).isGreaterThan(first);
        }
    }

    @Nested
    class Outage {
        @Test
        void aFreshProcessLearnsTheNewestVersionFromItsPeers() {
            ClusterNode entry = startNode(Role.ENTRY, "entry-1");
            publish(entry, -1, "first");
            long version = publish(entry, entry.version(), "second");
            log.faults(faults(Fault.always(FaultKind.REFUSE)));
            ClusterNode fresh = startNode(Role.ENTRY, "entry-2");
            await("learned", () -> fresh.version() == version);
            log.expire(0);
            log.faults(Faults.NONE);
            await("log is back", () -> fresh.cluster.isLogReachable());
            ClusterNode third = startNode(Role.AGENT, "agent-1");
            await("learned after expiry", () -> third.version() == version);
            long next = publish(fresh, version, "third");
            await("in force", () -> third.version() == next && entry.version() == next);
        }

        @Test
        void workIsAllowedWhileAllEntriesReportThatTheLogIsDown() {
            ClusterNode entry = startNode(Role.ENTRY, "entry-1");
            ClusterNode other = startNode(Role.ENTRY, "entry-2");
            ClusterNode agent = startNode(Role.AGENT, "agent-1");
            publish(entry, -1, "first");
            await("allowed", () -> isAllowed(agent));
            log.faults(faults(Fault.always(FaultKind.REFUSE)));
            await("down", () -> !entry.cluster.isLogReachable() && !other.cluster.isLogReachable());
            sleep(4_000);
            ConfigurationView view = agent.cluster.configurationView();
            assertThat(view.ageMillis(Clocks.monotonicMillis())).isGreaterThan(3_000L);
            assertThat(isAllowed(agent)).isTrue();
            log.faults(Faults.NONE);
            HttpClientResponse out =
                    entry.call("PUT", "/v1/zones/" + ZONE, Map.of("state", "out"), null);
            assertThat(out.read(ZoneChangeReport.class).inForce()).isTrue();
            assertThat(isRefused(agent, FailureType.ZONE_OUT)).isTrue();
        }

        @Test
        void aProcessCutOffOnlyFromTheLogFollowsItsPeers() {
            ClusterNode entry = startNode(Role.ENTRY, "entry-1");
            TcpRelay relay = startRelay(log.address());
            ClusterNode cutOff = startNode(Role.AGENT, "agent-1", relay.address());
            publish(entry, -1, "first");
            await("allowed", () -> isAllowed(cutOff));
            relay.cut(true);
            await("cut", () -> !cutOff.cluster.isLogReachable());
            sleep(3_500);
            assertThat(isAllowed(cutOff)).isTrue();
            HttpClientResponse out =
                    entry.call("PUT", "/v1/zones/" + ZONE, Map.of("state", "out"), null);
            assertThat(out.read(ZoneChangeReport.class).inForce()).isTrue();
            assertThat(isRefused(cutOff, FailureType.ZONE_OUT)).isTrue();
        }

        @Test
        void aProcessCutOffFromLogAndPeersRefusesWorkWithinThreeSeconds() {
            TcpRelay toEntry = startRelay(null);
            seedAddress = toEntry.address();
            ClusterNode entry =
                    new ClusterNode(Role.ENTRY, "entry-1", ZONE, log.address(), List.of(), toEntry);
            closeables.add(entry);
            TcpRelay toLog = startRelay(log.address());
            ClusterNode cutOff = startNode(Role.AGENT, "agent-1", toLog.address());
            publish(entry, -1, "first");
            await("allowed", () -> isAllowed(cutOff));
            toLog.cut(true);
            toEntry.cut(true);
            long cutAt = Clocks.monotonicMillis();
            await("stale", () -> isRefused(cutOff, FailureType.ZONE_VIEW_STALE));
            assertThat(Clocks.monotonicMillis() - cutAt).isLessThan(3_500L);
            toEntry.cut(false);
            await("allowed again", () -> isAllowed(cutOff));
        }
    }

    @Nested
    class LostState {
        @Test
        void isWrittenToTheLogAgainAndReadByNewProcesses() {
            ClusterNode entry = startNode(Role.ENTRY, "entry-1");
            long version = publish(entry, -1, "first");
            log.faults(faults(Fault.always(FaultKind.REFUSE)));
            ClusterNode other = startNode(Role.ENTRY, "entry-2");
            await("learned", () -> other.version() == version);
            entry.cluster.close();
            log.expire(0);
            log.faults(Faults.NONE);
            await("written again", () -> other.counter("config.snapshots") > 0);
            ClusterNode alone =
                    new ClusterNode(Role.AGENT, "agent-1", ZONE, log.address(), List.of());
            closeables.add(alone);
            await("read from the log", () -> alone.version() == version);
        }
    }

    @Nested
    class Members {
        @Test
        void areKnownToAllEntriesAndStopBeingUsableWhenTheyDrain() {
            ClusterNode firstEntry = startNode(Role.ENTRY, "entry-1");
            ClusterNode secondEntry = startNode(Role.ENTRY, "entry-2");
            ClusterNode agent = startNode(Role.AGENT, "agent-1");
            await(
                    "known",
                    () -> isUsable(firstEntry, "agent-1") && isUsable(secondEntry, "agent-1"));
            agent.cluster.drain();
            await(
                    "left",
                    () -> !isUsable(firstEntry, "agent-1") && !isUsable(secondEntry, "agent-1"));
            StatusReport status =
                    firstEntry.call("GET", "/v1/status", null, null).read(StatusReport.class);
            assertThat(status.members()).hasSize(2);
            assertThat(agent.call("GET", "/health/ready", null, null).status()).isEqualTo(503);
        }

        @Test
        void thatHaveNotConfirmedAChangeAreListed() {
            ClusterNode entry = startNode(Role.ENTRY, "entry-1");
            publish(entry, -1, "first");
            Announcement unreachable =
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
            entry.call("POST", AnnouncementClient.PATH, unreachable, null);
            ZoneChangeReport report =
                    entry.call("PUT", "/v1/zones/" + ZONE, Map.of("state", "out"), null)
                            .read(ZoneChangeReport.class);
            assertThat(report.inForce()).isFalse();
            assertThat(report.unconfirmed()).containsExactly("agent-9");
            assertThat(entry.call("PUT", "/v1/zones/x", Map.of("state", "out"), null).status())
                    .isEqualTo(404);
        }

        private boolean isUsable(ClusterNode entry, String id) {
            return entry.cluster
                    .members()
                    .find(id, Clocks.monotonicMillis())
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
            await("allowed", () -> isAllowed(agent));
            for (int i = 2; i < 5; i++) {
                seedAddress = entries.get(entries.size() - 1).address();
                ClusterNode fresh = startNode(Role.ENTRY, "entry-" + i);
                long expected = version;
                await("fresh entry knows", () -> fresh.version() == expected);
                await(
                        "agent knows",
                        () ->
                                agent.cluster
                                        .directory()
                                        .announcementTargets()
                                        .contains(fresh.address()));
                ClusterNode old = entries.remove(0);
                closeables.remove(old);
                old.close();
                entries.add(fresh);
                version = publish(fresh, version, "v" + i);
                long next = version;
                await("agent follows", () -> agent.version() == next);
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
