package org.fescueloom.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;

/** Signals that a settings file is invalid and lists every fault in it. */
public class InvalidSettingsException extends SchedulerException {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingsFault> faults;

    /**
     * Creates an exception whose message has a line for each fault.
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
     * Returns every fault of the settings file.
     *
     * @return the faults, never empty
     */
    public List<SettingsFault> faults() {
        return faults;
    }
}
