package org.fescueloom.report;

import java.util.List;
import java.util.Objects;
import org.fescueloom.config.ZoneState;

/**
 * Answers {@code PUT /v1/zones/{zone}}.
 *
 * @param zone the name of the zone, not null
 * @param state the state that operators asked for, not null
 * @param version the version of the configuration that carries it
 * @param inForce whether every live process has confirmed it
 * @param unconfirmed the identifiers of the processes that have not; null counts as none
 * @param brokenGuarantees the guarantees that cannot be met while the zone is out, in words; null
 *     counts as none
 */
public record ZoneChangeReport(
        String zone,
        ZoneState state,
        long version,
        boolean inForce,
        List<String> unconfirmed,
        List<String> brokenGuarantees) {
    /** Checks what is required and copies the collections. */
    public ZoneChangeReport {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(zone, "zone");
        unconfirmed = unconfirmed == null ? List.of() : List.copyOf(unconfirmed);
        brokenGuarantees = brokenGuarantees == null ? List.of() : List.copyOf(brokenGuarantees);
    }
}
