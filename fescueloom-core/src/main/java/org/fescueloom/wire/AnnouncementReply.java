package org.fescueloom.wire;

import java.util.List;
import java.util.Objects;

/**
 * Represents the response to an announcement.
 *
 * @param entry the identifier of the responding entry, not null
 * @param entries the addresses of all live entries that the responding entry knows; null is treated
 *     as none
 * @param config the configuration status of the responding entry, not null
 */
public record AnnouncementReply(String entry, List<String> entries, ConfigStatus config) {
    /** Checks that the required components are not null and copies the addresses. */
    public AnnouncementReply {
        Objects.requireNonNull(entry, "entry");
        Objects.requireNonNull(config, "config");
        entries = entries == null ? List.of() : List.copyOf(entries);
    }
}
