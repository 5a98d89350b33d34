package org.fescueloom.daemon.settings;

import java.util.Objects;

/**
 * Describes one fault in a settings file.
 *
 * @param path the path of the setting, such as "entries[1]", or "(file)" for the file as a whole,
 *     not null
 * @param value the value found, as JSON; "nothing" if the setting is missing; the message of the
 *     parser if the file is not valid JSON, not null
 * @param allowed a readable description of the allowed values, not null
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
