package org.fescueloom.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.fescueloom.member.EntryDirectory;
import org.junit.jupiter.api.Test;

/**
 * Simulates the same faults with both rules and counts late starts, which happen after the zone was
 * taken out of service and the maximum age has passed, and lost starts, which the rule refuses
 * while the zone is in service.
 */
class FreshnessRuleTest {
    private static final long MAX_AGE = ZoneGate.MAX_VIEW_AGE_MILLIS;
    private static final long TICK = 100L;
    private static final long POLL_INTERVAL = 500L;
    private static final long ANNOUNCEMENT_INTERVAL = 1_000L;
    private static final long END = 150_000L;
    private static final long ZONE_OUT_AT = 100_000L;
    private static final String ZONE = "mill-floor";

    private record Result(int lateStarts, int lostStarts, int possibleStarts) {
        double lostShare() {
            return (double) lostStarts / possibleStarts;
        }
    }

    /** Represents one process with its tracker. */
    private static final class SimulatedProcess {
        final String name;
        final boolean entry;
        final ConfigurationTracker tracker;
        final EntryDirectory directory = new EntryDirectory(List.of());
        boolean reachesLog = true;
        boolean reachesPeers = true;

        SimulatedProcess(String name, boolean entry) {
            this.name = name;
            this.entry = entry;
            this.tracker = new ConfigurationTracker(entry);
        }
    }

    /** Simulates three entries, three agents and one log. Time advances in ticks. */
    private static final class Simulation {
        final Map<String, SimulatedProcess> processes = new LinkedHashMap<>();
        final FreshnessRule rule;

        /** Whether the writer stops reporting that its log reads fail while it appends a change. */
        final boolean hidesLogFailure;

        boolean readsSucceed = true;
        boolean appendsSucceed = true;
        long version = 1;
        long zoneOutAt = Long.MAX_VALUE;
        long appendAt = Long.MAX_VALUE;

        Simulation(FreshnessRule rule, boolean hidesLogFailure) {
            this.rule = rule;
            this.hidesLogFailure = hidesLogFailure;
            for (String n : List.of("e1", "e2", "e3", "a1", "a2", "a3")) {
                processes.put(n, new SimulatedProcess(n, n.startsWith("e")));
            }
        }

        ConfigurationDocument document() {
            ZoneState state = version == 1 ? ZoneState.IN : ZoneState.OUT;
            return new ConfigurationDocument(
                    null, null, List.of(new Zone(ZONE, null, state, null)));
        }

        Result run(Map<Long, Consumer<Simulation>> faults) {
            int late = 0;
            int lost = 0;
            int possible = 0;
            for (long now = 0; now <= END; now += TICK) {
                faults.getOrDefault(now, simulation -> {}).accept(this);
                publish(now);
                int i = 0;
                for (SimulatedProcess process : processes.values()) {
                    poll(process, now, 70L * i);
                    announce(process, now, 130L * i);
                    i++;
                }
                for (SimulatedProcess process : processes.values()) {
                    boolean starts = mayStart(process, now);
                    boolean in = now < zoneOutAt;
                    late += starts && now - MAX_AGE > zoneOutAt ? 1 : 0;
                    if (in && now >= 5_000) {
                        possible++;
                        lost += starts ? 0 : 1;
                    }
                }
            }
            return new Result(late, lost, possible);
        }

        private void publish(long now) {
            SimulatedProcess writer = processes.get("e1");
            if (now == ZONE_OUT_AT && appendsSucceed && writer.reachesLog) {
                appendAt = now;
                if (hidesLogFailure) {
                    writer.tracker.beginWrite();
                }
            }
            if (now == appendAt) {
                version = 2;
                zoneOutAt = now;
                if (hidesLogFailure) {
                    writer.tracker.endWrite(true, now);
                }
            }
        }

        /** Polls the log if a poll is due; the phase is rounded down to a whole tick. */
        private void poll(SimulatedProcess process, long now, long phase) {
            if ((now + phase / TICK * TICK) % POLL_INTERVAL != 0) {
                return;
            }
            if (readsSucceed && process.reachesLog) {
                process.tracker.recordLogRead(version, document(), version + 1, now);
            } else {
                process.tracker.recordLogUnreachable(now);
            }
        }

        /** Announces the process if an announcement is due; the phase is rounded like in poll. */
        private void announce(SimulatedProcess process, long now, long phase) {
            if ((now + phase / TICK * TICK) % ANNOUNCEMENT_INTERVAL != 0 || !process.reachesPeers) {
                return;
            }
            for (SimulatedProcess e : processes.values()) {
                if (e.entry && e != process && e.reachesPeers) {
                    long known = process.tracker.view(Set.of()).version();
                    process.tracker.recordPeerStatus(
                            e.name, e.tracker.statusForPeer(known, now), now);
                    process.directory.recordListed(List.of(e.name), now);
                }
            }
        }

        private boolean mayStart(SimulatedProcess process, long now) {
            ConfigurationView view = process.tracker.view(process.directory.liveAddresses());
            ZoneGate gate = new ZoneGate(() -> view, rule, MAX_AGE);
            return gate.refusal(ZONE, now).isEmpty();
        }
    }

    private static Map<Long, Consumer<Simulation>> at(long time, Consumer<Simulation> fault) {
        Map<Long, Consumer<Simulation>> faults = new LinkedHashMap<>();
        faults.put(time, fault);
        return faults;
    }

    private static Result run(FreshnessRule rule, Map<Long, Consumer<Simulation>> faults) {
        Result result = new Simulation(rule, true).run(faults);
        System.out.printf("%-16s %s lost %.4f%n", rule.text(), result, result.lostShare());
        return result;
    }

    @Test
    void bothRulesAllowNoLateStartsWhenOneProcessIsCutOff() {
        for (FreshnessRule rule : FreshnessRule.values()) {
            for (String name : List.of("e2", "e3", "a1")) {
                Result fromLog =
                        run(
                                rule,
                                at(
                                        50_000,
                                        simulation ->
                                                simulation.processes.get(name).reachesLog = false));
                assertThat(fromLog.lateStarts()).isZero();
                assertThat(fromLog.lostShare()).isLessThan(0.005);
                Result fromAll =
                        run(
                                rule,
                                at(
                                        50_000,
                                        simulation -> {
                                            simulation.processes.get(name).reachesLog = false;
                                            simulation.processes.get(name).reachesPeers = false;
                                        }));
                assertThat(fromAll.lateStarts()).isZero();
            }
            Result nearOut = run(rule, at(99_900, simulation -> cutOff(simulation, "a2")));
            assertThat(nearOut.lateStarts()).isZero();
        }
    }

    private static void cutOff(Simulation simulation, String name) {
        simulation.processes.get(name).reachesLog = false;
        simulation.processes.get(name).reachesPeers = false;
    }

    @Test
    void outageExceptionAllowsStartsThatTheStrictRuleRefusesInAnOutage() {
        Map<Long, Consumer<Simulation>> outage =
                at(
                        20_000,
                        simulation -> simulation.readsSucceed = simulation.appendsSucceed = false);
        outage.put(
                99_000L, simulation -> simulation.readsSucceed = simulation.appendsSucceed = true);
        Result strict = run(FreshnessRule.STRICT, outage);
        Result exception = run(FreshnessRule.OUTAGE_EXCEPTION, outage);
        assertThat(strict.lateStarts()).isZero();
        assertThat(exception.lateStarts()).isZero();
        assertThat(strict.lostShare()).isGreaterThan(0.7);
        assertThat(exception.lostShare()).isLessThan(0.02);
    }

    @Test
    void outageExceptionIsSafeOnlyIfTheWriterHidesItsLogFailure() {
        Map<Long, Consumer<Simulation>> readsFail =
                at(80_000, simulation -> simulation.readsSucceed = false);
        assertThat(run(FreshnessRule.OUTAGE_EXCEPTION, readsFail).lateStarts()).isZero();
        Simulation withoutHiding = new Simulation(FreshnessRule.OUTAGE_EXCEPTION, false);
        assertThat(withoutHiding.run(readsFail).lateStarts()).isPositive();
    }

    @Test
    void onlyTheStrictRuleIsSafeWhenTheWriterIsCutOffFromAllPeersInAnOutage() {
        Map<Long, Consumer<Simulation>> faults = new LinkedHashMap<>();
        faults.put(
                60_000L,
                simulation -> {
                    simulation.processes.values().forEach(p -> p.reachesLog = p.name.equals("e1"));
                    simulation.processes.get("e1").reachesPeers = false;
                });
        assertThat(run(FreshnessRule.STRICT, faults).lateStarts()).isZero();
        assertThat(run(FreshnessRule.OUTAGE_EXCEPTION, faults).lateStarts()).isPositive();
    }
}
