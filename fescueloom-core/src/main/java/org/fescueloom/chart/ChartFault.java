package org.fescueloom.chart;

import java.util.Objects;

/**
 * Describes one fault in the file of a state chart.
 *
 * @param type the type of the fault, not null
 * @param path the path of the fault in the file, such as "states.running.events.timed-out", not
 *     null
 * @param detail a description for operators, not null
 */
public record ChartFault(ChartFaultType type, String path, String detail) {
    /** Checks that no component is null. */
    public ChartFault {
        Objects.requireNonNull(type, "type");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(detail, "detail");
    }

    @Override
    public String toString() {
        return path + ": " + detail;
    }
}
