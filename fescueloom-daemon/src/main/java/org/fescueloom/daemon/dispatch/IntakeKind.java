package org.fescueloom.daemon.dispatch;

import java.util.Optional;

/** Names what a record in the log of callers stands for. */
enum IntakeKind {
    /** A job was handed in; the value is its submission. */
    SUBMISSION("j/", "POST", "job-accepted"),
    /** A job was cancelled; the value only keeps the record from being a removal. */
    CANCELLATION("c/", "DELETE", "job-cancelled");

    private final String prefix;
    private final String httpMethod;
    private final String eventName;

    IntakeKind(String prefix, String method, String event) {
        this.prefix = prefix;
        this.httpMethod = method;
        this.eventName = event;
    }

    /** Returns the key under which a record of this kind is kept. */
    String key(String rest) {
        return prefix + rest;
    }

    /** Returns the HTTP method by which one entry asks another to store such a record. */
    String httpMethod() {
        return httpMethod;
    }

    /** Returns the name of the log event that such a record was stored. */
    String eventName() {
        return eventName;
    }

    /** Returns the job that a key of this kind names, and what tells records of it apart. */
    String keySuffix(String key) {
        return key.substring(prefix.length());
    }

    /** Returns the kind of a key, or empty if a later version may have written it. */
    static Optional<IntakeKind> of(String key) {
        for (IntakeKind kind : values()) {
            if (key.startsWith(kind.prefix) && key.length() > kind.prefix.length()) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
