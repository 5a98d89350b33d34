package org.fescueloom.cli;

import java.util.Objects;
import java.util.Optional;
import okhttp3.Headers;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;

/**
 * Holds an HTTP response of an entry with its whole body.
 *
 * @param entry the address of the entry that responded, not null
 * @param status the HTTP status
 * @param headers the headers, not null
 * @param body the body, not null
 */
public record EntryResponse(String entry, int status, Headers headers, byte[] body) {
    /** Checks that no component is null. */
    public EntryResponse {
        Objects.requireNonNull(entry, "entry");
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(body, "body");
    }

    /**
     * Tells whether the status reports success.
     *
     * @return true for a status from 200 to 299
     */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /**
     * Returns the value of a header.
     *
     * @param name the name of the header, not null
     * @return the value, or empty if the response has no such header
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /**
     * Decodes the JSON body; ignores unknown fields.
     *
     * @param <T> the type of the value
     * @param type the class of the value, not null
     * @return the value, never null
     * @throws CommandException with status {@code INVALID_ANSWER} if the body cannot be decoded as
     *     this type
     */
    public <T> T readBody(Class<T> type) {
        try {
            return Json.read(body, type);
        } catch (SchedulerException e) {
            throw new CommandException(
                    ExitStatus.INVALID_RESPONSE,
                    "entry " + entry + " responded with status " + status + ": " + e.getMessage());
        }
    }
}
