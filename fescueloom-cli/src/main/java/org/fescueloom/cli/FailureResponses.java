package org.fescueloom.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.fescueloom.failure.FailureBody;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;

/** Tells a person why an entry refused a call. */
final class FailureResponses {
    private FailureResponses() {}

    /**
     * Creates the failure for an answer without success.
     *
     * @param answer the answer, not null
     * @return the failure, never null
     */
    static CommandException toException(EntryResponse answer) {
        FailureBody body;
        try {
            body = Json.read(answer.body(), FailureBody.class);
        } catch (SchedulerException e) {
            return new CommandException(
                    ExitStatus.INVALID_RESPONSE,
                    "entry %s answered with status %d and no readable reason"
                            .formatted(answer.entry(), answer.status()));
        }
        String text =
                "%s (%s): %s".formatted(body.error().text(), body.outcome().text(), body.detail());
        String retry =
                answer.header("Retry-After").map(s -> "; try again in " + s + " s").orElse("");
        return new CommandException(
                ExitStatus.of(body.error()), text + retry + describeFaults(answer.body()));
    }

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
