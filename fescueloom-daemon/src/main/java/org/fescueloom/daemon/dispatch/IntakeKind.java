package org.fescueloom.daemon.dispatch;

import java.util.Optional;

/** Names the kinds of records in the intake log. */
enum IntakeKind {
    /** The submission of a job, which is the value of the record. */
    SUBMISSION("j/", "POST", "job-accepted"),
    /**
     * The cancellation of a job; its value has no content, but must not be empty, since an empty
     * value is a tombstone.
     */
    CANCELLATION("c/", "DELETE", "job-cancelled");

    private final String keyPrefix;
    private final String httpMethod;
    private final String eventName;

    IntakeKind(String keyPrefix, String httpMethod, String eventName) {
        this.keyPrefix = keyPrefix;
        this.httpMethod = httpMethod;
        this.eventName = eventName;
    }

    /**
     * Returns the key of a record of this kind.
     *
     * @param suffix the job ID; for a submission followed by a separator and a checksum
     */
    String key(String suffix) {
        return keyPrefix + suffix;
    }

    /**
     * Returns the HTTP method with which an entry asks another one to store a record of this kind.
     */
    String httpMethod() {
        return httpMethod;
    }

    /** Returns the name of the event that is logged once a record of this kind is stored. */
    String eventName() {
        return eventName;
    }

    /** Returns a key of this kind without its prefix; see {@link #key}. */
    String keySuffix(String key) {
        return key.substring(keyPrefix.length());
    }

    /**
     * Returns the kind of a key; empty if the kind is not known, since a later version may have
     * written the key.
     */
    static Optional<IntakeKind> of(String key) {
        for (IntakeKind kind : values()) {
            if (key.startsWith(kind.keyPrefix) && key.length() > kind.keyPrefix.length()) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
