package org.fescueloom.daemon.dispatch;

import java.util.Objects;

/**
 * Names a partition of a topic of the log service. Each partition has its own offsets, and may fail
 * while others respond.
 *
 * @param topic the name of the topic, not null
 * @param number the number of the partition, from 0
 */
public record LogPartition(String topic, int number) {
    /** Checks the values. */
    public LogPartition {
        Objects.requireNonNull(topic, "topic");
        if (number < 0) {
            throw new IllegalArgumentException("number must not be negative, but is " + number);
        }
    }

    /** Returns the topic and the number, separated by a slash. */
    @Override
    public String toString() {
        return topic + '/' + number;
    }
}
