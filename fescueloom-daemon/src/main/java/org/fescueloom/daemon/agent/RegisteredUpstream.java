package org.fescueloom.daemon.agent;

import java.util.Objects;
import java.util.Optional;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.wire.UpstreamRegistration;

/**
 * Holds the last registration of this agent's upstream.
 *
 * <p>Not thread-safe.
 */
final class RegisteredUpstream {
    /** The time after which a registration that is not renewed expires. */
    private static final long REGISTRATION_TTL_NANOS = 3_000_000_000L;

    /** The retry time of a refusal because the upstream is not registered or is leaving. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private UpstreamRegistration registration;
    private long registeredAtNanos;

    /**
     * Stores a new registration, which replaces the last one.
     *
     * @param newRegistration the new registration, not null
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return true if the new registration differs from the last one
     */
    boolean register(UpstreamRegistration newRegistration, long nowNanos) {
        boolean changed = !Objects.requireNonNull(newRegistration).equals(registration);
        registration = newRegistration;
        registeredAtNanos = nowNanos;
        return changed;
    }

    /** Removes the registration. */
    void clear() {
        registration = null;
    }

    /**
     * Returns the registration of the upstream, also if the upstream is leaving.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the registration, or empty if there is none or it has expired
     */
    Optional<UpstreamRegistration> current(long nowNanos) {
        boolean expired = nowNanos - registeredAtNanos > REGISTRATION_TTL_NANOS;
        return Optional.ofNullable(expired ? null : registration);
    }

    /**
     * Returns the registration of an upstream that accepts new work.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the registration, never null
     * @throws SchedulerException with type {@code NO_UPSTREAM} or {@code UPSTREAM_LEAVING}
     */
    UpstreamRegistration requireReady(long nowNanos) {
        UpstreamRegistration upstream =
                current(nowNanos)
                        .orElseThrow(
                                () ->
                                        new SchedulerException(
                                                FailureType.NO_UPSTREAM,
                                                "no upstream is registered with the agent",
                                                RETRY_AFTER_MILLIS));
        if (upstream.leaving()) {
            throw new SchedulerException(
                    FailureType.UPSTREAM_LEAVING,
                    "upstream " + upstream.upstream() + " is leaving",
                    RETRY_AFTER_MILLIS);
        }
        return upstream;
    }
}
