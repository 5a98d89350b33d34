package org.fescueloom.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;

/** Reports every fault of a settings file that cannot be used. */
public class InvalidSettingsException extends SchedulerException {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingsFault> faults;

    /**
     * Creates the failure.
     *
     * @param faults the faults, not empty
     */
    public InvalidSettingsException(List<SettingsFault> faults) {
        super(FailureType.INVALID_FIELD, describe(faults));
        this.faults = List.copyOf(faults);
    }

    private static String describe(List<SettingsFault> faults) {
        return faults.stream()
                .map(SettingsFault::toString)
                .collect(Collectors.joining(System.lineSeparator()));
    }

    /**
     * Returns every fault that was found.
     *
     * @return the faults, never empty
     */
    public List<SettingsFault> faults() {
        return faults;
    }
}
