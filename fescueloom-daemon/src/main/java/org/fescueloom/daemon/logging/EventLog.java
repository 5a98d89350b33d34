package org.fescueloom.daemon.logging;

import java.util.Objects;
import java.util.regex.Pattern;
import org.fescueloom.daemon.settings.LogLevel;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;
import org.tinylog.configuration.Configuration;
import org.tinylog.provider.ProviderRegistry;

/**
 * Builds one structured log event and writes it as one line: the name of the event, then its fields
 * as key=value.
 *
 * <p>The format of the logging library puts the time, the level and the identifier of the process
 * before the event. A value with characters other than letters, digits and {@code . _ : / @ + , [ ]
 * -} is enclosed in double quotes, with line breaks, quotes and backslashes escaped. A value of
 * more than 500 characters is truncated and ends in three dots. Usage: {@code
 * EventLog.event("zone-out").field("zone", zone).info()}.
 */
public final class EventLog {
    // Key of the process identifier in the thread context; the line format refers to it
    private static final String MEMBER_CONTEXT_KEY = "member";
    // Property of the logging library
    private static final String LEVEL_PROPERTY = "level";
    private static final int MAX_VALUE_CHARS = 500;
    private static final Pattern UNQUOTED_VALUE = Pattern.compile("[A-Za-z0-9._:/@+,\\[\\]-]+");

    private final StringBuilder line;

    private EventLog(String name) {
        line = new StringBuilder("event=").append(quoteIfNeeded(name));
    }

    /**
     * Sets the lowest level that is written and the identifier of the process; must be called
     * before the first event.
     *
     * @param level the lowest level that is written, not null
     * @param member the identifier of the process, not null
     */
    public static void configure(LogLevel level, String member) {
        Configuration.set(LEVEL_PROPERTY, level.text());
        ThreadContext.put(MEMBER_CONTEXT_KEY, Objects.requireNonNull(member, "member"));
    }

    /**
     * Creates an event without fields.
     *
     * @param name the name of the event, as words joined by hyphens, not null
     * @return the event, never null; call a level method such as {@link #info()} to write it
     */
    public static EventLog event(String name) {
        return new EventLog(Objects.requireNonNull(name, "name"));
    }

    /**
     * Writes the queued lines and shuts logging down; must be the last call before the process
     * ends.
     */
    public static void close() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Adds a field.
     *
     * @param key the name of the field, not null
     * @param value the value; null is written as "none"
     * @return this event
     */
    public EventLog field(String key, Object value) {
        line.append(' ').append(Objects.requireNonNull(key, "key")).append('=');
        line.append(value == null ? "none" : quoteIfNeeded(truncate(value.toString())));
        return this;
    }

    /**
     * Adds the simple class name of a throwable as the field "error" and its message as the field
     * "reason". This method does not write the event; {@link #error()} does.
     *
     * @param error the throwable, not null
     * @return this event
     */
    public EventLog error(Throwable error) {
        return field("error", error.getClass().getSimpleName()).field("reason", error.getMessage());
    }

    /** Writes the event at level debug. */
    public void debug() {
        Logger.debug((Object) line);
    }

    /** Writes the event at level info. */
    public void info() {
        Logger.info((Object) line);
    }

    /** Writes the event at level warn. */
    public void warn() {
        Logger.warn((Object) line);
    }

    /** Writes the event at level error. */
    public void error() {
        Logger.error((Object) line);
    }

    /**
     * Returns the event as text, without the parts that the format of the logging library adds.
     *
     * @return the name and the fields, never null
     */
    @Override
    public String toString() {
        return line.toString();
    }

    private static String truncate(String text) {
        return text.length() <= MAX_VALUE_CHARS ? text : text.substring(0, MAX_VALUE_CHARS) + "...";
    }

    private static String quoteIfNeeded(String text) {
        if (UNQUOTED_VALUE.matcher(text).matches()) {
            return text;
        }
        String escaped =
                text.replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                        .replace("\r", "\\r")
                        .replace("\n", "\\n");
        return '"' + escaped + '"';
    }
}
