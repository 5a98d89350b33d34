package org.fescueloom.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescueloom.work.Resources;

/** Keeps count of the room of each upstream while a round is planned. */
final class CapacityLedger {
    /** Tells which count of room a search looks at. */
    enum CapacityKind {
        /** What is free now. */
        FREE,

        /** What will be free once the stopped runs have ended. */
        PROMISED
    }

    private final Map<String, UpstreamCapacity> upstreamsByAgent = new HashMap<>();
    private final Map<String, Resources> free = new HashMap<>();
    private final Map<String, Resources> promised = new HashMap<>();
    private final Set<String> racks = new HashSet<>();

    /**
     * Creates a ledger.
     *
     * @param upstreams the upstreams that may take tasks, not null
     */
    CapacityLedger(Collection<UpstreamCapacity> upstreams) {
        for (UpstreamCapacity room : upstreams) {
            upstreamsByAgent.put(room.agent(), room);
            free.put(room.agent(), room.free());
            promised.put(room.agent(), room.promised());
            racks.add(room.rack());
        }
    }

    /** Returns all racks. */
    Set<String> racks() {
        return racks;
    }

    /** Returns the upstreams of a service, of one rack unless {@code rack} is null. */
    List<UpstreamCapacity> upstreams(String service, String rack) {
        List<UpstreamCapacity> found = new ArrayList<>();
        for (UpstreamCapacity room : upstreamsByAgent.values()) {
            if (room.service().equals(service) && (rack == null || room.rack().equals(rack))) {
                found.add(room);
            }
        }
        return found;
    }

    /** Returns the upstream of an agent. */
    UpstreamCapacity upstream(String agent) {
        return upstreamsByAgent.get(agent);
    }

    /** Returns the room of an agent's upstream. */
    Resources capacity(String agent, CapacityKind sight) {
        return (sight == CapacityKind.FREE ? free : promised).getOrDefault(agent, Resources.NONE);
    }

    /** Takes room for a start from both counts. */
    void reserve(String agent, Resources need) {
        free.computeIfPresent(agent, (k, room) -> room.minus(need));
        promised.computeIfPresent(agent, (k, room) -> room.minus(need));
    }

    /** Adds room that a stop will give back. */
    void addPromised(String agent, Resources more) {
        promised.computeIfPresent(agent, (k, room) -> room.plus(more));
    }
}
