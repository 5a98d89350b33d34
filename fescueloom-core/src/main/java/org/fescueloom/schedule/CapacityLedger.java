package org.fescueloom.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescueloom.work.Resources;

/** Tracks the capacity of each upstream during one scheduling round. */
final class CapacityLedger {
    /** Selects the capacity that a search may use. */
    enum CapacityKind {
        /** The capacity that is free now. */
        FREE,

        /** The capacity that is free now or will be free once all stopped runs have ended. */
        PROMISED
    }

    private final Map<String, UpstreamCapacity> upstreamsByAgent = new HashMap<>();
    private final Map<String, Resources> freeByAgent = new HashMap<>();
    private final Map<String, Resources> promisedByAgent = new HashMap<>();
    private final Map<String, List<UpstreamCapacity>> upstreamsByRack = new HashMap<>();

    /**
     * Creates a ledger.
     *
     * @param upstreams the upstreams that may take tasks, not null
     */
    CapacityLedger(Collection<UpstreamCapacity> upstreams) {
        for (UpstreamCapacity upstream : upstreams) {
            upstreamsByAgent.put(upstream.agent(), upstream);
            freeByAgent.put(upstream.agent(), upstream.free());
            promisedByAgent.put(upstream.agent(), upstream.promised());
            upstreamsByRack
                    .computeIfAbsent(upstream.rack(), rack -> new ArrayList<>())
                    .add(upstream);
        }
    }

    /** Returns the racks of all upstreams. */
    Set<String> racks() {
        return upstreamsByRack.keySet();
    }

    /** Returns the upstreams of a service in a rack, or in any rack if {@code rack} is null. */
    List<UpstreamCapacity> upstreams(String service, String rack) {
        Collection<UpstreamCapacity> searched =
                rack == null
                        ? upstreamsByAgent.values()
                        : upstreamsByRack.getOrDefault(rack, List.of());
        List<UpstreamCapacity> found = new ArrayList<>();
        for (UpstreamCapacity upstream : searched) {
            if (upstream.service().equals(service)) {
                found.add(upstream);
            }
        }
        return found;
    }

    /** Returns the upstream of an agent; null if the agent is unknown. */
    UpstreamCapacity upstream(String agent) {
        return upstreamsByAgent.get(agent);
    }

    /** Returns the capacity of an agent's upstream; none if the agent is unknown. */
    Resources capacity(String agent, CapacityKind kind) {
        return (kind == CapacityKind.FREE ? freeByAgent : promisedByAgent)
                .getOrDefault(agent, Resources.NONE);
    }

    /**
     * Subtracts the resources of a new run from the free and the promised capacity of an agent's
     * upstream. Does nothing if the agent is unknown.
     */
    void reserve(String agent, Resources need) {
        freeByAgent.computeIfPresent(agent, (k, capacity) -> capacity.minus(need));
        promisedByAgent.computeIfPresent(agent, (k, capacity) -> capacity.minus(need));
    }

    /**
     * Adds resources that a stopped run will release to the promised capacity of an agent's
     * upstream. Does nothing if the agent is unknown.
     */
    void addPromised(String agent, Resources released) {
        promisedByAgent.computeIfPresent(agent, (k, capacity) -> capacity.plus(released));
    }
}
