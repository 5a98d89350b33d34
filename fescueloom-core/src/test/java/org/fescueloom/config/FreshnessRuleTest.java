package org.fescueloom.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.fescueloom.member.EntryDirectory;
import org.junit.jupiter.api.Test;

/** Feeds the same faults to both rules and counts late starts and lost starts. */
class FreshnessRuleTest {
    private static final long MAX_AGE = ZoneGate.MAX_VIEW_AGE_MILLIS;
    private static final long TICK = 100L;
    private static final long POLL = 500L;
    private static final long HEARTBEAT = 1_000L;
    private static final long END = 150_000L;
    private static final long OUT_AT = 100_000L;
    private static final String ZONE = "mill-floor";

    private record Result(int lateStarts, int lostStarts, int possibleStarts) {
        double lostShare() {
            return (double) lostStarts / possibleStarts;
        }
    }

    /** One process with its tracker. */
    private static final class Node {
        final String name;
        final boolean entry;
        final ConfigurationTracker tracker;
        final EntryDirectory directory = new EntryDirectory(List.of());
        boolean reachesLog = true;
        boolean reachesPeers = true;

        Node(String name, boolean entry) {
            this.name = name;
            this.entry = entry;
            this.tracker = new ConfigurationTracker(entry);
        }
    }

    /** Three entries, three agents, one log; time moves in ticks. */
    private static final class Feed {
        final Map<String, Node> nodes = new LinkedHashMap<>();
        final FreshnessRule rule;
        final boolean announcesWrite;
        boolean readsWork = true;
        boolean appendsWork = true;
        long version = 1;
        long outAt = Long.MAX_VALUE;
        long appendAt = Long.MAX_VALUE;

        Feed(FreshnessRule rule, boolean announcesWrite) {
            this.rule = rule;
            this.announcesWrite = announcesWrite;
            for (String n : List.of("e1", "e2", "e3", "a1", "a2", "a3")) {
                nodes.put(n, new Node(n, n.startsWith("e")));
            }
        }

        ConfigurationDocument document() {
            ZoneState state = version == 1 ? ZoneState.IN : ZoneState.OUT;
            return new ConfigurationDocument(
                    null, null, List.of(new Zone(ZONE, null, state, null)));
        }

        Result run(Map<Long, Consumer<Feed>> faults) {
            int late = 0;
            int lost = 0;
            int possible = 0;
            for (long now = 0; now <= END; now += TICK) {
                faults.getOrDefault(now, f -> {}).accept(this);
                publish(now);
                int i = 0;
                for (Node n : nodes.values()) {
                    poll(n, now, 70L * i);
                    announce(n, now, 130L * i);
                    i++;
                }
                for (Node n : nodes.values()) {
                    boolean starts = starts(n, now);
                    boolean in = now < outAt;
                    late += starts && now - MAX_AGE > outAt ? 1 : 0;
                    if (in && now >= 5_000) {
                        possible++;
                        lost += starts ? 0 : 1;
                    }
                }
            }
            return new Result(late, lost, possible);
        }

        private void publish(long now) {
            Node writer = nodes.get("e1");
            if (now == OUT_AT && appendsWork && writer.reachesLog) {
                appendAt = now;
                if (announcesWrite) {
                    writer.tracker.beginWrite();
                }
            }
            if (now == appendAt) {
                version = 2;
                outAt = now;
                if (announcesWrite) {
                    writer.tracker.endWrite(true, now);
                }
            }
        }

        private void poll(Node n, long now, long phase) {
            if ((now + phase / TICK * TICK) % POLL != 0) {
                return;
            }
            if (readsWork && n.reachesLog) {
                n.tracker.recordLogRead(version, document(), version + 1, now);
            } else {
                n.tracker.recordLogUnreachable(now);
            }
        }

        private void announce(Node n, long now, long phase) {
            if ((now + phase / TICK * TICK) % HEARTBEAT != 0 || !n.reachesPeers) {
                return;
            }
            for (Node e : nodes.values()) {
                if (e.entry && e != n && e.reachesPeers) {
                    long known = n.tracker.view(Set.of()).version();
                    n.tracker.recordPeerStatus(e.name, e.tracker.statusForPeer(known, now), now);
                    n.directory.recordListed(List.of(e.name), now);
                }
            }
        }

        private boolean starts(Node n, long now) {
            ConfigurationView view = n.tracker.view(n.directory.liveAddresses());
            ZoneGate gate = new ZoneGate(() -> view, rule, MAX_AGE);
            return gate.refusal(ZONE, now).isEmpty();
        }
    }

    private static Map<Long, Consumer<Feed>> at(long time, Consumer<Feed> fault) {
        Map<Long, Consumer<Feed>> faults = new LinkedHashMap<>();
        faults.put(time, fault);
        return faults;
    }

    private static Result run(FreshnessRule rule, Map<Long, Consumer<Feed>> faults) {
        Result result = new Feed(rule, true).run(faults);
        System.out.printf("%-16s %s lost %.4f%n", rule.text(), result, result.lostShare());
        return result;
    }

    @Test
    void bothHoldThePromiseWithAnyOneProcessCutOff() {
        for (FreshnessRule rule : FreshnessRule.values()) {
            for (String name : List.of("e2", "e3", "a1")) {
                Result fromLog = run(rule, at(50_000, f -> f.nodes.get(name).reachesLog = false));
                assertThat(fromLog.lateStarts()).isZero();
                assertThat(fromLog.lostShare()).isLessThan(0.005);
                Result fromAll =
                        run(
                                rule,
                                at(
                                        50_000,
                                        f -> {
                                            f.nodes.get(name).reachesLog = false;
                                            f.nodes.get(name).reachesPeers = false;
                                        }));
                assertThat(fromAll.lateStarts()).isZero();
            }
            Result nearOut = run(rule, at(99_900, f -> cutOff(f, "a2")));
            assertThat(nearOut.lateStarts()).isZero();
        }
    }

    private static void cutOff(Feed f, String name) {
        f.nodes.get(name).reachesLog = false;
        f.nodes.get(name).reachesPeers = false;
    }

    @Test
    void theExceptionKeepsTheWorkThatTheStrictRuleLosesInAnOutage() {
        Map<Long, Consumer<Feed>> outage = at(20_000, f -> f.readsWork = f.appendsWork = false);
        outage.put(99_000L, f -> f.readsWork = f.appendsWork = true);
        Result strict = run(FreshnessRule.STRICT, outage);
        Result exception = run(FreshnessRule.OUTAGE_EXCEPTION, outage);
        assertThat(strict.lateStarts()).isZero();
        assertThat(exception.lateStarts()).isZero();
        assertThat(strict.lostShare()).isGreaterThan(0.7);
        assertThat(exception.lostShare()).isLessThan(0.02);
    }

    @Test
    void theExceptionNeedsTheWriterToStopSayingThatTheLogIsDown() {
        Map<Long, Consumer<Feed>> readsFail = at(80_000, f -> f.readsWork = false);
        assertThat(run(FreshnessRule.OUTAGE_EXCEPTION, readsFail).lateStarts()).isZero();
        Feed hasty = new Feed(FreshnessRule.OUTAGE_EXCEPTION, false);
        assertThat(hasty.run(readsFail).lateStarts()).isPositive();
    }

    @Test
    void onlyTheStrictRuleHoldsWhenTheWriterIsCutOffFromAllProcessesInAnOutage() {
        Map<Long, Consumer<Feed>> faults = new LinkedHashMap<>();
        faults.put(
                60_000L,
                f -> {
                    f.nodes.values().forEach(n -> n.reachesLog = n.name.equals("e1"));
                    f.nodes.get("e1").reachesPeers = false;
                });
        assertThat(run(FreshnessRule.STRICT, faults).lateStarts()).isZero();
        assertThat(run(FreshnessRule.OUTAGE_EXCEPTION, faults).lateStarts()).isPositive();
    }
}
