package org.fescueloom.daemon.dispatch;

import java.util.Optional;
import org.fescueloom.fleet.FleetConfiguration;

/** Decodes the records of the operator log. */
public interface OperatorRecordDecoder {
    /**
     * Decodes a configuration.
     *
     * @param operatorRecord the record, not null
     * @return the configuration, or empty if the record holds none or cannot be decoded
     */
    Optional<FleetConfiguration> configuration(KeyedRecord operatorRecord);

    /**
     * Returns the availability zone that a record takes out of service, or back into service if the
     * record is a tombstone.
     *
     * @param key the key of the record, not null
     * @return the zone, or empty if the record does not concern a zone
     */
    Optional<String> zone(String key);
}
