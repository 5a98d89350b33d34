package org.fescueloom.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.fescueloom.failure.FailureBody;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;

/** Converts failure responses of entries to exceptions with a message for the user. */
final class FailureResponses {
    private FailureResponses() {}

    /**
     * Creates the exception for a response whose status reports a failure.
     *
     * @param response the response, not null
     * @return the exception, never null
     */
    static CommandException toException(EntryResponse response) {
        FailureBody failure;
        try {
            failure = Json.read(response.body(), FailureBody.class);
        } catch (SchedulerException e) {
            return new CommandException(
                    ExitStatus.INVALID_RESPONSE,
                    "entry %s responded with status %d and an unreadable body"
                            .formatted(response.entry(), response.status()));
        }
        String message =
                "%s (%s): %s"
                        .formatted(
                                failure.error().text(), failure.outcome().text(), failure.detail());
        String retryText =
                response.header("Retry-After").map(s -> "; try again in " + s + " s").orElse("");
        return new CommandException(
                ExitStatus.of(failure.error()),
                message + retryText + describeFaults(response.body()));
    }

    /** Returns a line for each element of the field "faults"; an empty text if there are none. */
    private static String describeFaults(byte[] body) {
        StringBuilder text = new StringBuilder();
        for (JsonNode fault : Json.read(body, JsonNode.class).path("faults")) {
            text.append(System.lineSeparator())
                    .append("  ")
                    .append(fault.path("path").asText())
                    .append(": found ")
                    .append(fault.path("value").asText())
                    .append("; allowed: ")
                    .append(fault.path("allowed").asText());
        }
        return text.toString();
    }
}
