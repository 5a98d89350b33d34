package org.fescueloom.report;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Holds the response to {@code GET /v1/status}: the state of the system as known to one entry.
 *
 * @param entry the identifier of the responding entry, not null
 * @param zone the availability zone of the entry, not null
 * @param configVersion the version of the configuration in force; -1 for none
 * @param configAgeMillis the time since the log service last confirmed that no newer configuration
 *     exists, in milliseconds; -1 if it never did
 * @param logReachable whether the entry's last call to the log service succeeded
 * @param planner the identifier of the process that is the planner; null if none is known
 * @param zones the availability zones; null means none
 * @param members the entries and agents that announce themselves; null means none
 * @param jobs the number of jobs in each state, by the text of the state; null means none
 */
public record StatusReport(
        String entry,
        String zone,
        long configVersion,
        long configAgeMillis,
        boolean logReachable,
        String planner,
        List<ZoneReport> zones,
        List<MemberReport> members,
        Map<String, Integer> jobs) {
    /** Checks that the required values are not null and copies the collections. */
    public StatusReport {
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(entry, "entry");
        zones = zones == null ? List.of() : List.copyOf(zones);
        members = members == null ? List.of() : List.copyOf(members);
        jobs = jobs == null ? Map.of() : new TreeMap<>(jobs);
    }
}
