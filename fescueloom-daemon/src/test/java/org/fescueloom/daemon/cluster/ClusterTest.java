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
import org.fescueloom.daemon.http.HttpAnswer;
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
    private static final long PATIENCE_MILLIS = 15_000L;

    private final LogStandIn log = new LogStandIn(ListenAddress.ANY, 10_000, 400);
    private final List<AutoCloseable> open = new ArrayList<>();
    private String seed;

    @BeforeEach
    void startLog() {
        log.start();
    }

    @AfterEach
    void close() throws Exception {
        for (int i = open.size() - 1; i >= 0; i--) {
            open.get(i).close();
        }
        log.close();
    }

    private ClusterNode node(Role role, String member) {
        return node(role, member, log.address());
    }

    private ClusterNode node(Role role, String member, String logAddress) {
        List<String> seeds = seed == null ? List.of() : List.of(seed);
        ClusterNode node = new ClusterNode(role, member, ZONE, logAddress, seeds);
        open.add(node);
        if (seed == null) {
            seed = node.address();
        }
        return node;
    }

    private TcpRelay relay(String target) {
        TcpRelay relay = new TcpRelay(target);
        open.add(relay);
        return relay;
    }

    private static ConfigurationDocument document(String name) {
        return new ConfigurationDocument(
                List.of(new ServiceClass(name, 1_000, 1, 1_024)),
                null,
                List.of(new Zone(ZONE, null, ZoneState.IN, null)));
    }

    private static void await(String what, BooleanSupplier condition) {
        long deadline = Clocks.monotonicMillis() + PATIENCE_MILLIS;
        while (!condition.getAsBoolean()) {
            assertThat(Clocks.monotonicMillis()).as(what).isLessThan(deadline);
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
        HttpAnswer answer = node.call("PUT", "/v1/config", document(name), "\"" + base + "\"");
        assertThat(answer.status()).as(new String(answer.body())).isEqualTo(200);
        return answer.read(VersionReport.class).version();
    }

    private static boolean refuses(ClusterNode node, FailureType type) {
        return node.cluster
                .zoneGate()
                .refusal(ZONE, Clocks.monotonicMillis())
                .filter(t -> t == type)
                .isPresent();
    }

    private static boolean allows(ClusterNode node) {
        return node.cluster.zoneGate().refusal(ZONE, Clocks.monotonicMillis()).isEmpty();
    }

    private static Faults faults(Fault... faults) {
        return Faults.of(faults);
    }

    @Nested
    class Publishing {
        @Test
        void letsOneOfTwoOperatorsWinAndTellsTheOther() {
            ClusterNode left = node(Role.ENTRY, "entry-1");
            ClusterNode right = node(Role.ENTRY, "entry-2");
            await("both ready", () -> left.cluster.ready() && right.cluster.ready());
            CompletableFuture<HttpAnswer> a =
                    left.send("PUT", "/v1/config", document("left"), "-1");
            CompletableFuture<HttpAnswer> b =
                    right.send("PUT", "/v1/config", document("right"), "-1");
            assertThat(List.of(a.join().status(), b.join().status()))
                    .containsExactlyInAnyOrder(200, 412);
            await("one version", () -> left.version() >= 0 && left.version() == right.version());
            assertThat(left.cluster.view().document()).isEqualTo(right.cluster.view().document());
        }

        @Test
        void neverTakesItsOwnChangeForAConflictWhenAnswersAreLost() {
            ClusterNode entry = node(Role.ENTRY, "entry-1");
            publish(entry, -1, "first");
            log.faults(faults(Fault.always(FaultKind.LOSE_ANSWER).withProbability(0.3)));
            for (int i = 0; i < 10; i++) {
                long base = entry.version();
                HttpAnswer answer =
                        entry.call("PUT", "/v1/config", document("n" + i), "\"" + base + "\"");
                assertThat(answer.status()).isIn(200, 503, 504);
                if (answer.status() == 200) {
                    assertThat(entry.version()).isGreaterThan(base);
                    assertThat(entry.cluster.view().document()).isEqualTo(document("n" + i));
                }
            }
            log.faults(Faults.NONE);
            assertThat(publish(entry, entry.version(), "last")).isEqualTo(entry.version());
        }

        @Test
        void answersEveryFaultOfADocument() {
            ClusterNode entry = node(Role.ENTRY, "entry-1");
            HttpAnswer answer = entry.call("PUT", "/v1/config", document("a b"), "-1");
            assertThat(answer.status()).isEqualTo(422);
            assertThat(new String(answer.body())).contains("classes[0].name", "invalid-config");
            assertThat(entry.call("PUT", "/v1/config", document("a"), null).status())
                    .isEqualTo(400);
        }

        @Test
        void refusesAtOnceWhileTheLogIsDownAndWorksWhileItIsSlow() {
            ClusterNode entry = node(Role.ENTRY, "entry-1");
            long first = publish(entry, -1, "first");
            log.faults(faults(Fault.always(FaultKind.REFUSE)));
            HttpAnswer answer = entry.call("PUT", "/v1/config", document("x"), "" + first);
            assertThat(answer.status()).isEqualTo(503);
            log.faults(faults(Fault.delay(300)));
            assertThat(publish(entry, first, "second")).isGreaterThan(first);
        }
    }

    @Nested
    class Outage {
        @Test
        void aFreshProcessLearnsTheNewestVersionFromItsPeers() {
            ClusterNode entry = node(Role.ENTRY, "entry-1");
            publish(entry, -1, "first");
            long version = publish(entry, entry.version(), "second");
            log.faults(faults(Fault.always(FaultKind.REFUSE)));
            ClusterNode fresh = node(Role.ENTRY, "entry-2");
            await("learned", () -> fresh.version() == version);
            log.expire(0);
            log.faults(Faults.NONE);
            await("log is back", () -> fresh.cluster.logReachable());
            ClusterNode third = node(Role.AGENT, "agent-1");
            await("learned after expiry", () -> third.version() == version);
            long next = publish(fresh, version, "third");
            await("in force", () -> third.version() == next && entry.version() == next);
        }

        @Test
        void workGoesOnWhileEveryEntrySaysThatTheLogIsDown() {
            ClusterNode entry = node(Role.ENTRY, "entry-1");
            ClusterNode other = node(Role.ENTRY, "entry-2");
            ClusterNode agent = node(Role.AGENT, "agent-1");
            publish(entry, -1, "first");
            await("allowed", () -> allows(agent));
            log.faults(faults(Fault.always(FaultKind.REFUSE)));
            await("down", () -> !entry.cluster.logReachable() && !other.cluster.logReachable());
            sleep(4_000);
            ConfigurationView view = agent.cluster.view();
            assertThat(view.ageMillis(Clocks.monotonicMillis())).isGreaterThan(3_000L);
            assertThat(allows(agent)).isTrue();
            log.faults(Faults.NONE);
            HttpAnswer out = entry.call("PUT", "/v1/zones/" + ZONE, Map.of("state", "out"), null);
            assertThat(out.read(ZoneChangeReport.class).inForce()).isTrue();
            assertThat(refuses(agent, FailureType.ZONE_OUT)).isTrue();
        }

        @Test
        void aProcessCutOffFromTheLogAloneFollowsItsPeers() {
            ClusterNode entry = node(Role.ENTRY, "entry-1");
            TcpRelay relay = relay(log.address());
            ClusterNode cutOff = node(Role.AGENT, "agent-1", relay.address());
            publish(entry, -1, "first");
            await("allowed", () -> allows(cutOff));
            relay.cut(true);
            await("cut", () -> !cutOff.cluster.logReachable());
            sleep(3_500);
            assertThat(allows(cutOff)).isTrue();
            HttpAnswer out = entry.call("PUT", "/v1/zones/" + ZONE, Map.of("state", "out"), null);
            assertThat(out.read(ZoneChangeReport.class).inForce()).isTrue();
            assertThat(refuses(cutOff, FailureType.ZONE_OUT)).isTrue();
        }

        @Test
        void aProcessCutOffFromEverythingStopsWithinThreeSeconds() {
            TcpRelay toEntry = relay(null);
            seed = toEntry.address();
            ClusterNode entry =
                    new ClusterNode(Role.ENTRY, "entry-1", ZONE, log.address(), List.of(), toEntry);
            open.add(entry);
            TcpRelay toLog = relay(log.address());
            ClusterNode cutOff = node(Role.AGENT, "agent-1", toLog.address());
            publish(entry, -1, "first");
            await("allowed", () -> allows(cutOff));
            toLog.cut(true);
            toEntry.cut(true);
            long cutAt = Clocks.monotonicMillis();
            await("stale", () -> refuses(cutOff, FailureType.ZONE_VIEW_STALE));
            assertThat(Clocks.monotonicMillis() - cutAt).isLessThan(3_500L);
            toEntry.cut(false);
            await("allowed again", () -> allows(cutOff));
        }
    }

    @Nested
    class LostState {
        @Test
        void isWrittenToTheLogAgainAndFreshProcessesTakeItFromThere() {
            ClusterNode entry = node(Role.ENTRY, "entry-1");
            long version = publish(entry, -1, "first");
            log.faults(faults(Fault.always(FaultKind.REFUSE)));
            ClusterNode other = node(Role.ENTRY, "entry-2");
            await("learned", () -> other.version() == version);
            entry.cluster.close();
            log.expire(0);
            log.faults(Faults.NONE);
            await("written again", () -> other.counter("config.snapshots") > 0);
            ClusterNode alone =
                    new ClusterNode(Role.AGENT, "agent-1", ZONE, log.address(), List.of());
            open.add(alone);
            await("read from the log", () -> alone.version() == version);
        }
    }

    @Nested
    class Members {
        @Test
        void areKnownToEveryEntryAndLeaveAtOnce() {
            ClusterNode left = node(Role.ENTRY, "entry-1");
            ClusterNode right = node(Role.ENTRY, "entry-2");
            ClusterNode agent = node(Role.AGENT, "agent-1");
            await("known", () -> isUsable(left, "agent-1") && isUsable(right, "agent-1"));
            agent.cluster.drain();
            await("left", () -> !isUsable(left, "agent-1") && !isUsable(right, "agent-1"));
            StatusReport status =
                    left.call("GET", "/v1/status", null, null).read(StatusReport.class);
            assertThat(status.members()).hasSize(2);
            assertThat(agent.call("GET", "/health/ready", null, null).status()).isEqualTo(503);
        }

        @Test
        void thatHaveNotConfirmedAChangeAreNamed() {
            ClusterNode entry = node(Role.ENTRY, "entry-1");
            publish(entry, -1, "first");
            Announcement deaf =
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
            entry.call("POST", AnnouncementClient.PATH, deaf, null);
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
        void ofAllEntriesOneAfterAnotherStopsNoWorkAndLosesNoVersion() throws Exception {
            List<ClusterNode> entries = new ArrayList<>();
            entries.add(node(Role.ENTRY, "entry-0"));
            entries.add(node(Role.ENTRY, "entry-1"));
            ClusterNode agent = node(Role.AGENT, "agent-1");
            long version = publish(entries.get(0), -1, "first");
            await("allowed", () -> allows(agent));
            for (int i = 2; i < 5; i++) {
                seed = entries.get(entries.size() - 1).address();
                ClusterNode fresh = node(Role.ENTRY, "entry-" + i);
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
                open.remove(old);
                old.close();
                entries.add(fresh);
                version = publish(fresh, version, "v" + i);
                long next = version;
                await("agent follows", () -> agent.version() == next);
                assertThat(allows(agent)).isTrue();
            }
        }
    }

    @Nested
    class CorruptRecords {
        @Test
        void areSkippedCountedAndNeverFatal() {
            ClusterNode entry = node(Role.ENTRY, "entry-1");
            publish(entry, -1, "first");
            entry.cluster.log().append("config", new IntNode(7)).join();
            long version = publish(entry, entry.version(), "second");
            assertThat(version).isEqualTo(2);
            assertThat(entry.counter("config.records.corrupt")).isEqualTo(1);
        }
    }
}
