package org.fescueloom.chart;

/** Names what can be wrong with the file of a state chart. */
public enum ChartFaultType {
    /** No file of this name exists. */
    MISSING_FILE,
    /** The file is not JSON or not of the form of a chart. */
    MALFORMED_FILE,
    /** The name in the file differs from the name of the file. */
    WRONG_NAME,
    /** A state is named that the chart does not have. */
    UNKNOWN_STATE,
    /** An event is named that the chart does not declare. */
    UNKNOWN_EVENT,
    /** No path of transitions leads from the initial state to the state. */
    UNREACHABLE_STATE,
    /** A state that is not terminal neither handles nor ignores the event. */
    UNHANDLED_EVENT,
    /** A state both handles and ignores the event. */
    CONTRADICTORY_EVENT,
    /** A declared event is handled by no state. */
    UNUSED_EVENT,
    /** A terminal state handles or ignores events. */
    EVENTS_IN_TERMINAL_STATE,
    /** No terminal state can be reached from the state, though the chart has terminal states. */
    DEAD_END,
    /** The chart names a state, an event or an action for which the enum has no constant. */
    MISSING_CONSTANT,
    /** The enum has a constant that the chart does not name. */
    UNNAMED_CONSTANT
}
