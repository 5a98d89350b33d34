package org.fescueloom.daemon.settings;

import java.util.Objects;

/**
 * Describes one fault in the settings file.
 *
 * @param path where it is, such as "entries[1]", not null; empty for the file as a whole
 * @param value what stands there, as JSON; "nothing" if the setting is missing, not null
 * @param allowed what may stand there, for a person, not null
 */
public record SettingsFault(String path, String value, String allowed) {
    /** Checks that no component is null. */
    public SettingsFault {
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(value, "value");
        Objects.requireNonNull(allowed, "allowed");
    }

    @Override
    public String toString() {
        return path + ": found " + value + "; allowed: " + allowed;
    }
}
