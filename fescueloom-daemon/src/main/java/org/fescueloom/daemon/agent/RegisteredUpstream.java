package org.fescueloom.daemon.agent;

import java.util.Objects;
import java.util.Optional;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.wire.UpstreamRegistration;

/**
 * Holds the last registration of the upstream beside this agent.
 *
 * <p>Not safe for use by several threads at once.
 */
final class RegisteredUpstream {
    private static final long REGISTRATION_TTL_NANOS = 3_000_000_000L;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private UpstreamRegistration registration;
    private long registeredAtNanos;

    /**
     * Takes a registration.
     *
     * @param newRegistration the registration, not null
     * @param nowNanos the time
     * @return true if it differs from the last one
     */
    boolean register(UpstreamRegistration newRegistration, long nowNanos) {
        boolean changed = !Objects.requireNonNull(newRegistration).equals(registration);
        registration = newRegistration;
        registeredAtNanos = nowNanos;
        return changed;
    }

    /** Forgets the upstream until it registers again. */
    void clear() {
        registration = null;
    }

    /**
     * Returns the upstream, also when it is leaving.
     *
     * @param nowNanos the time
     * @return the registration, or empty if the upstream has not registered lately
     */
    Optional<UpstreamRegistration> current(long nowNanos) {
        boolean expired = nowNanos - registeredAtNanos > REGISTRATION_TTL_NANOS;
        return Optional.ofNullable(expired ? null : registration);
    }

    /**
     * Returns the upstream if it takes new work.
     *
     * @param nowNanos the time
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
                                                "no upstream has registered lately",
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
