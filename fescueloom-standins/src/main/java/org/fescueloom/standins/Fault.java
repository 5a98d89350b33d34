package org.fescueloom.standins;

import java.util.Objects;

/**
 * Describes one fault that a stand-in injects into calls.
 *
 * @param kind the kind, not null
 * @param probability the probability that the fault affects a call, from 0 to 1; null is treated as
 *     1
 * @param millis the length of the delay, for {@link FaultKind#DELAY}, in milliseconds; null is
 *     treated as 0
 * @param amount the number of records that each stream keeps, for {@link FaultKind#EXPIRE_RECORDS};
 *     null is treated as 0
 * @param factor the factor by which the service time grows, for {@link FaultKind#SLOW}; null is
 *     treated as 1
 * @param times the largest number of calls that the fault affects; null for no limit
 * @param path a text that the path of an affected call contains; null for all calls
 */
public record Fault(
        FaultKind kind,
        Double probability,
        Long millis,
        Integer amount,
        Double factor,
        Integer times,
        String path) {
    /** Checks that the kind is not null and replaces null by the default values. */
    public Fault {
        Objects.requireNonNull(kind, "kind");
        probability = probability == null ? 1.0 : probability;
        millis = millis == null ? 0L : millis;
        amount = amount == null ? 0 : amount;
        factor = factor == null ? 1.0 : factor;
    }

    /**
     * Returns a fault that affects every call.
     *
     * @param kind the kind, not null
     * @return the fault, never null
     */
    public static Fault always(FaultKind kind) {
        return new Fault(kind, null, null, null, null, null, null);
    }

    /**
     * Returns a fault that delays every call.
     *
     * @param millis the length of the delay, in milliseconds
     * @return the fault, never null
     */
    public static Fault delay(long millis) {
        return new Fault(FaultKind.DELAY, null, millis, null, null, null, null);
    }

    /**
     * Returns a fault that slows every run of an upstream down.
     *
     * @param factor the factor by which the service time grows
     * @return the fault, never null
     */
    public static Fault slow(double factor) {
        return new Fault(FaultKind.SLOW, null, null, null, factor, null, null);
    }

    /**
     * Returns a fault that removes the oldest records of each stream.
     *
     * @param amount the number of newest records that each stream keeps
     * @return the fault, never null
     */
    public static Fault expire(int amount) {
        return new Fault(FaultKind.EXPIRE_RECORDS, null, null, amount, null, null, null);
    }

    /**
     * Returns a copy of this fault that affects a random part of the calls.
     *
     * @param share the probability that the fault affects a call, from 0 to 1
     * @return the fault, never null
     */
    public Fault withProbability(double share) {
        return new Fault(kind, share, millis, amount, factor, times, path);
    }

    /**
     * Returns a copy of this fault with a limit on the number of affected calls.
     *
     * @param limit the largest number of affected calls
     * @return the fault, never null
     */
    public Fault withTimes(int limit) {
        return new Fault(kind, probability, millis, amount, factor, limit, path);
    }

    /**
     * Returns a copy of this fault that affects only calls whose path contains a text.
     *
     * @param pathPart the text, not null
     * @return the fault, never null
     */
    public Fault withPath(String pathPart) {
        return new Fault(kind, probability, millis, amount, factor, times, pathPart);
    }
}
