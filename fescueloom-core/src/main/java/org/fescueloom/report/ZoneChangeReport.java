package org.fescueloom.report;

import java.util.List;
import java.util.Objects;
import org.fescueloom.config.ZoneState;

/**
 * Holds the response to {@code PUT /v1/zones/{zone}}.
 *
 * @param zone the name of the zone, not null
 * @param state the state that the operator requested, not null
 * @param version the version of the configuration that contains the change
 * @param inForce whether every live process has confirmed that version
 * @param unconfirmed the identifiers of the live processes that have not confirmed the version;
 *     null means none
 * @param brokenGuarantees descriptions of the guarantees that cannot be met while the zone is out
 *     of service; null means none
 */
public record ZoneChangeReport(
        String zone,
        ZoneState state,
        long version,
        boolean inForce,
        List<String> unconfirmed,
        List<String> brokenGuarantees) {
    /** Checks that zone and state are not null and copies the lists. */
    public ZoneChangeReport {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(zone, "zone");
        unconfirmed = unconfirmed == null ? List.of() : List.copyOf(unconfirmed);
        brokenGuarantees = brokenGuarantees == null ? List.of() : List.copyOf(brokenGuarantees);
    }
}
