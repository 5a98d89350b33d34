package org.fescueloom.report;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Answers {@code GET /v1/status}: the system as one entry sees it.
 *
 * @param entry the identifier of the entry that answers, not null
 * @param zone the availability zone of the entry, not null
 * @param configVersion the version of the configuration in force; -1 for none
 * @param configAgeMillis the time since the log confirmed that no newer one exists, in
 *     milliseconds; -1 if it never did
 * @param logReachable whether the entry reached the log at its last try
 * @param planner the identifier of the process that plans jobs; null if none is known
 * @param zones the availability zones; null counts as none
 * @param members the entries and agents that announce themselves; null counts as none
 * @param jobs how many jobs are in each state, by the text of the state; null counts as none
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
    /** Checks what is required and copies the collections. */
    public StatusReport {
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(entry, "entry");
        zones = zones == null ? List.of() : List.copyOf(zones);
        members = members == null ? List.of() : List.copyOf(members);
        jobs = jobs == null ? Map.of() : new TreeMap<>(jobs);
    }
}
