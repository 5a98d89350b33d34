package org.fescueloom.daemon.dispatch;

import java.util.Optional;
import org.fescueloom.fleet.FleetConfiguration;

/** Reads what operators write into their log. */
public interface OperatorRecordDecoder {
    /**
     * Reads a configuration.
     *
     * @param item the record, not null
     * @return the configuration, or empty if the record holds none or cannot be read
     */
    Optional<FleetConfiguration> configuration(KeyedRecord item);

    /**
     * Reads the availability zone that a record takes out of service, or back if it has no value.
     *
     * @param key the key of the record, not null
     * @return the zone, or empty if the record is about something else
     */
    Optional<String> zone(String key);
}
