package org.fescueloom.daemon.dispatch;

import java.util.Objects;

/**
 * Holds one record of a keyed log.
 *
 * @param key the key, at most 255 bytes in UTF-8, not null
 * @param value the value, not null; an empty value is a tombstone, which deletes the key
 */
public record KeyedRecord(String key, byte[] value) {
    /** Checks the values. */
    public KeyedRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
