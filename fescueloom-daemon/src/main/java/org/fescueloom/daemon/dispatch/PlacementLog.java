package org.fescueloom.daemon.dispatch;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.schedule.Assignment;
import org.fescueloom.schedule.UpstreamCapacity;
import org.fescueloom.schedule.WaitingUnit;

/**
 * Logs where a scheduling round places units, and what it knew of the fleet, so that a slow
 * upstream can be put down to a missing report, an unknown speed, a lack of room or a preference.
 */
final class PlacementLog {
    /** Upstreams whose slowness differs by less than this factor count as equally fast. */
    private static final double FASTER_FACTOR = 1.25;

    private final DispatchState state;
    private final FleetCensus census;
    private final List<UpstreamCapacity> upstreams;

    /**
     * Creates the log of one round.
     *
     * @param state the state of the dispatcher
     * @param census the agents that the dispatcher knows
     * @param upstreams the upstreams that may take tasks, as they were before the round
     */
    PlacementLog(DispatchState state, FleetCensus census, List<UpstreamCapacity> upstreams) {
        this.state = state;
        this.census = census;
        this.upstreams = upstreams;
    }

    /** Logs the placement of one unit. */
    void logStart(Assignment assignment, long nowMillis) {
        WaitingUnit unit = assignment.unit();
        Collection<String> agents = assignment.agents().values();
        double slowest = 0;
        int unknownSpeeds = 0;
        for (String agent : agents) {
            AgentView view = state.agent(agent);
            slowest = Math.max(slowest, view.health().slowness());
            unknownSpeeds += view.health().speedKnown() ? 0 : 1;
        }
        EventLog.event("unit-placed")
                .field("job", unit.job())
                .field("step", unit.step())
                .field("tasks", agents.size())
                .field("gang", unit.spec().gang())
                .field("priority", unit.priority())
                .field("ready", unit.millisSinceReady())
                .field("slowest", Math.round(100 * slowest) / 100.0)
                .field("unknown-speeds", unknownSpeeds)
                .field("faster-idle", countFasterIdle(assignment, slowest))
                .field("available", census.available())
                .field("unheard", census.unheard())
                .field("unable", census.unable())
                .field("since-takeover", nowMillis - state.startedMillis())
                .field("epoch", state.epoch())
                .info();
    }

    /** Logs the reservations that differ from those of the round before. */
    void logNewReservations(Map<String, List<String>> earlier, Map<String, List<String>> present) {
        present.forEach(
                (unit, agents) -> {
                    if (!agents.equals(earlier.get(unit))) {
                        EventLog.event("gang-reserved")
                                .field("unit", unit)
                                .field("agents", String.join(",", agents))
                                .field("available", census.available())
                                .field("epoch", state.epoch())
                                .info();
                        state.metrics().count("gangs.reservations");
                    }
                });
    }

    /**
     * Counts the faster upstreams that could have held a task of the unit and got none. Upstreams
     * of unknown speed count as average.
     */
    private long countFasterIdle(Assignment assignment, double slowest) {
        WaitingUnit unit = assignment.unit();
        String label = unit.spec().requiredLabel();
        return upstreams.stream()
                .filter(u -> u.service().equals(unit.service()))
                .filter(u -> label.isEmpty() || u.labels().contains(label))
                .filter(u -> unit.spec().reservedResources().fitsIn(u.free()))
                .filter(u -> u.slowness() * FASTER_FACTOR < slowest)
                .filter(u -> !assignment.agents().containsValue(u.agent()))
                .count();
    }
}
