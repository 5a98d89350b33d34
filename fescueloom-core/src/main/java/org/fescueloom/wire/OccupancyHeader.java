package org.fescueloom.wire;

import java.util.Optional;

/** Converts between the status of an agent and the value of its occupancy header. */
public final class OccupancyHeader {
    private static final int FIELDS = 4;

    private OccupancyHeader() {}

    /**
     * Formats a status as the value of the header {@link Headers#AGENT_OCCUPANCY}.
     *
     * @param status the status, not null
     * @return "slots;running;queued;serviceMicros", never null
     */
    public static String format(AgentStatus status) {
        return status.slots()
                + ";"
                + status.running()
                + ";"
                + status.queued()
                + ";"
                + status.serviceMicros();
    }

    /**
     * Parses the value of the header.
     *
     * @param upstream the identifier of the upstream that the status describes, not null
     * @param text the value, may be null
     * @return the status, or empty if the text does not have the form of {@link #format}
     */
    public static Optional<AgentStatus> parse(String upstream, String text) {
        String[] parts = text == null ? new String[0] : text.split(";", -1);
        if (parts.length != FIELDS) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new AgentStatus(
                            upstream,
                            Integer.parseInt(parts[0]),
                            Integer.parseInt(parts[1]),
                            Integer.parseInt(parts[2]),
                            Long.parseLong(parts[3])));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
