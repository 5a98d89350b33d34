package org.fescueloom.chart;

import java.util.List;
import java.util.stream.Collectors;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;

/** Reports every fault of a state chart that cannot be used. */
public class InvalidChartException extends SchedulerException {
    private static final long serialVersionUID = 1L;

    private final transient List<ChartFault> faults;

    /**
     * Creates the failure.
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
     * Returns every fault that was found.
     *
     * @return the faults, never empty
     */
    public List<ChartFault> faults() {
        return faults;
    }
}
