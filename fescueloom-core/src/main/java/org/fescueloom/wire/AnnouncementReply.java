package org.fescueloom.wire;

import java.util.List;
import java.util.Objects;

/**
 * Answers an announcement.
 *
 * @param entry the identifier of the entry that answers, not null
 * @param entries the addresses of all live entries that it knows; null counts as none
 * @param config its view of the configuration, not null
 */
public record AnnouncementReply(String entry, List<String> entries, ConfigStatus config) {
    /** Checks the required components and copies the addresses. */
    public AnnouncementReply {
        Objects.requireNonNull(entry, "entry");
        Objects.requireNonNull(config, "config");
        entries = entries == null ? List.of() : List.copyOf(entries);
    }
}
