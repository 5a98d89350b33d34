package org.fescueloom.standins.load;

import java.util.Map;

/**
 * Holds what a run of the load tool measured; times are in milliseconds from the planned arrival.
 *
 * @param seed the seed of the run
 * @param sent how many requests were sent
 * @param answered how many got their whole own answer
 * @param wrongAnswers how many got an answer that was not their own body
 * @param inTime how many were answered within the target
 * @param seconds the time from the first arrival to the last end, in seconds
 * @param outcomes how many ended with each status and failure type
 * @param p50 the median of the answered ones
 * @param p90 the 90th percentile of the answered ones
 * @param p99 the 99th percentile of the answered ones
 * @param max the longest of the answered ones
 * @param refusedP50 the median time until a refusal
 * @param refusedP99 the 99th percentile of the time until a refusal
 */
public record LoadResult(
        long seed,
        int sent,
        int answered,
        int wrongAnswers,
        int inTime,
        double seconds,
        Map<String, Integer> outcomes,
        double p50,
        double p90,
        double p99,
        double max,
        double refusedP50,
        double refusedP99) {
    /** Copies the outcomes. */
    public LoadResult {
        outcomes = Map.copyOf(outcomes);
    }

    /**
     * Returns the head of a table of results.
     *
     * @return one line, never null
     */
    public static String tableHead() {
        return String.format(
                "%-18s %7s %8s %6s %7s %8s %8s %8s %8s %8s %8s",
                "run",
                "sent",
                "answered",
                "wrong",
                "in-time",
                "rate/s",
                "p50",
                "p90",
                "p99",
                "max",
                "ref-p99");
    }

    /**
     * Returns this result as one line of a table.
     *
     * @param name the name of the run, not null
     * @return the line, never null
     */
    public String tableLine(String name) {
        return String.format(
                "%-18s %7d %8d %6d %6.1f%% %8.1f %8.1f %8.1f %8.1f %8.1f %8.1f %s",
                name,
                sent,
                answered,
                wrongAnswers,
                100.0 * inTime / sent,
                answered / seconds,
                p50,
                p90,
                p99,
                max,
                refusedP99,
                outcomes);
    }
}
