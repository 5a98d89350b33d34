package org.fescueloom.chart;

/** Enumerates the types of faults in the file of a state chart. */
public enum ChartFaultType {
    /** The file does not exist. */
    MISSING_FILE,
    /** The file is not JSON or does not have the form of a chart. */
    MALFORMED_FILE,
    /** The name of the chart differs from the name of the file. */
    WRONG_NAME,
    /** The chart refers to a state that it does not define. */
    UNKNOWN_STATE,
    /** The chart refers to an event that it does not declare. */
    UNKNOWN_EVENT,
    /** No sequence of transitions leads from the initial state to the state. */
    UNREACHABLE_STATE,
    /** A state that is not terminal neither handles nor ignores an event. */
    UNHANDLED_EVENT,
    /** A state both handles and ignores an event. */
    CONTRADICTORY_EVENT,
    /** No state handles a declared event. */
    UNUSED_EVENT,
    /** A terminal state lists handled or ignored events. */
    EVENTS_IN_TERMINAL_STATE,
    /** The chart has terminal states, but none of them can be reached from the state. */
    DEAD_END,
    /** The enum has no constant for a state, an event or an action of the chart. */
    MISSING_CONSTANT,
    /** The enum has a constant that does not occur in the chart. */
    UNNAMED_CONSTANT
}
