package org.fescueloom.chart;

import java.util.List;
import java.util.stream.Collectors;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;

/** Thrown when a state chart is invalid. */
public class InvalidChartException extends SchedulerException {
    private static final long serialVersionUID = 1L;

    private final transient List<ChartFault> faults;

    /**
     * Creates an exception for a chart and its faults.
     *
     * @param chart the name of the chart, not null
     * @param faults the faults, not empty
     */
    public InvalidChartException(String chart, List<ChartFault> faults) {
        super(FailureType.INTERNAL, describe(chart, faults));
        this.faults = List.copyOf(faults);
    }

    private static String describe(String chart, List<ChartFault> faults) {
        return faults.stream()
                .map(ChartFault::toString)
                .collect(Collectors.joining("; ", "state chart " + chart + ": ", ""));
    }

    /**
     * Returns all faults of the chart.
     *
     * @return the faults, never empty
     */
    public List<ChartFault> faults() {
        return faults;
    }
}
