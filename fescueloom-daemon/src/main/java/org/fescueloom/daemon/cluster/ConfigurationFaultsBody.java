package org.fescueloom.daemon.cluster;

import java.util.List;
import java.util.Objects;
import org.fescueloom.config.ConfigurationFault;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Outcome;

/**
 * Answers a document that was refused.
 *
 * @param error the type of the failure, not null
 * @param outcome what became of the call, not null
 * @param detail a sentence for a person, not null
 * @param faults every fault, not null
 */
record ConfigurationFaultsBody(
        FailureType error, Outcome outcome, String detail, List<ConfigurationFault> faults) {
    ConfigurationFaultsBody {
        Objects.requireNonNull(error, "error");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(detail, "detail");
        faults = List.copyOf(faults);
    }

    static ConfigurationFaultsBody of(List<ConfigurationFault> faults) {
        FailureType type = FailureType.INVALID_CONFIGURATION;
        return new ConfigurationFaultsBody(
                type, type.outcome(), "the document has " + faults.size() + " faults", faults);
    }
}
