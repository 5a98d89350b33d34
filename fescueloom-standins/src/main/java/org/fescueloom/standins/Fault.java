package org.fescueloom.standins;

import java.util.Objects;

/**
 * Describes one fault that a stand-in shows.
 *
 * @param kind the kind, not null
 * @param probability the share of calls that meet it, from 0 to 1; null counts as 1
 * @param millis the length of a delay, in milliseconds; null counts as 0
 * @param amount how many records to keep, for {@link FaultKind#EXPIRE_RECORDS}; null counts as 0
 * @param factor how many times slower, for {@link FaultKind#SLOW}; null counts as 1
 * @param times how often it is shown at most; null for no limit
 * @param path a part of the path of the calls that meet it; null for all calls
 */
public record Fault(
        FaultKind kind,
        Double probability,
        Long millis,
        Integer amount,
        Double factor,
        Integer times,
        String path) {
    /** Checks the kind and fills in what may be left out. */
    public Fault {
        Objects.requireNonNull(kind, "kind");
        probability = probability == null ? 1.0 : probability;
        millis = millis == null ? 0L : millis;
        amount = amount == null ? 0 : amount;
        factor = factor == null ? 1.0 : factor;
    }

    /**
     * Returns a fault that every call meets.
     *
     * @param kind the kind, not null
     * @return the fault, never null
     */
    public static Fault always(FaultKind kind) {
        return new Fault(kind, null, null, null, null, null, null);
    }

    /**
     * Returns a delay that every call meets.
     *
     * @param millis the length, in milliseconds
     * @return the fault, never null
     */
    public static Fault delay(long millis) {
        return new Fault(FaultKind.DELAY, null, millis, null, null, null, null);
    }

    /**
     * Returns a fault that makes an upstream slower.
     *
     * @param factor how many times slower
     * @return the fault, never null
     */
    public static Fault slow(double factor) {
        return new Fault(FaultKind.SLOW, null, null, null, factor, null, null);
    }

    /**
     * Returns a fault that removes all but the newest records of each stream.
     *
     * @param amount how many records are kept
     * @return the fault, never null
     */
    public static Fault expire(int amount) {
        return new Fault(FaultKind.EXPIRE_RECORDS, null, null, amount, null, null, null);
    }

    /**
     * Returns this fault for some of the calls only.
     *
     * @param share the share of calls that meet it, from 0 to 1
     * @return the fault, never null
     */
    public Fault withProbability(double share) {
        return new Fault(kind, share, millis, amount, factor, times, path);
    }

    /**
     * Returns this fault with a limit on how often it is shown.
     *
     * @param limit how often at most
     * @return the fault, never null
     */
    public Fault withTimes(int limit) {
        return new Fault(kind, probability, millis, amount, factor, limit, path);
    }

    /**
     * Returns this fault for calls whose path holds a text.
     *
     * @param part the text, not null
     * @return the fault, never null
     */
    public Fault withPath(String pathPart) {
        return new Fault(kind, probability, millis, amount, factor, times, pathPart);
    }
}
