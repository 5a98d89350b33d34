package org.fescueloom.fleet;

import java.util.Objects;

/**
 * Decides which of the status reports of one incarnation of an upstream holds.
 *
 * <p>A report with a lower sequence number than the present one is late. But one report of another
 * writer, with a high sequence number or of another kind of upstream, must not silence the upstream
 * for good: reports that contradict the present one hold once several have arrived in order while
 * none has followed from the present one.
 */
public final class StatusReportOrder {
    /** The number of contradicting reports in order that replace the present one. */
    static final int MIN_CONTRADICTIONS = 3;

    /**
     * How long no report may have followed from the present one before others replace it. Several
     * times the interval of status reports, so that late reports do not replace a newer one while
     * the upstream goes on.
     */
    static final long MIN_SILENCE_MILLIS = 5_000;

    private UpstreamNotice present;
    private long presentMillis;
    private UpstreamNotice contradiction;
    private int contradictions;

    /**
     * Takes a report into account.
     *
     * @param report the report, not null
     * @param nowMillis the time on a monotonic clock, in milliseconds
     * @return whether the report holds now
     */
    public boolean accept(UpstreamNotice report, long nowMillis) {
        Objects.requireNonNull(report, "report");
        boolean follows =
                present == null
                        || report.sequence() > present.sequence()
                                && report.describesSameKindAs(present);
        if (!follows) {
            countContradiction(report);
            follows =
                    contradictions >= MIN_CONTRADICTIONS
                            && nowMillis - presentMillis >= MIN_SILENCE_MILLIS;
        }
        if (follows) {
            present = report;
            presentMillis = nowMillis;
            contradiction = null;
            contradictions = 0;
        }
        return follows;
    }

    private void countContradiction(UpstreamNotice report) {
        boolean goesOn =
                contradiction != null
                        && report.describesSameKindAs(contradiction)
                        && report.sequence() > contradiction.sequence();
        contradictions = goesOn ? contradictions + 1 : 1;
        contradiction = report;
    }
}
