package org.fescueloom.daemon.cluster;

import java.util.List;
import java.util.Objects;
import org.fescueloom.config.ConfigurationFault;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Outcome;

/**
 * Holds the body of the response that refuses a configuration document.
 *
 * @param error the type of the failure, not null
 * @param outcome whether the request may have taken effect, not null
 * @param detail the message for operators, not null
 * @param faults all faults of the document, not null
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
