package org.fescueloom.standins.load;

import java.util.Map;

/**
 * Holds the counts and latencies that a run of the load generator measured. Latencies are in
 * milliseconds from the planned arrival of a request.
 *
 * @param seed the seed of the plan
 * @param sent the number of requests of the plan, including those that the load generator gave up
 *     before it sent them
 * @param answered the number of requests that got status 200 and the body that they had sent
 * @param wrongAnswers the number of requests that got status 200 and another body
 * @param inTime the number of answered requests with a latency up to the latency limit of the plan
 * @param seconds the time from the first arrival to the end of the last request, in seconds
 * @param outcomes the number of requests by outcome: status and failure type, class name of an
 *     exception, given-up, or wrong-answer
 * @param p50 the median latency of the answered requests
 * @param p90 the 90th percentile of the latency of the answered requests
 * @param p99 the 99th percentile of the latency of the answered requests
 * @param max the largest latency of the answered requests
 * @param refusedP50 the median latency of the requests that did not get status 200
 * @param refusedP99 the 99th percentile of the latency of the requests that did not get status 200
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
     * Returns the column headings for {@link #tableLine}.
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
     * Returns this result as one line of a table; {@link #tableHead} has the column headings.
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
