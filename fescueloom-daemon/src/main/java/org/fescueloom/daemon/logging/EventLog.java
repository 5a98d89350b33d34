package org.fescueloom.daemon.logging;

import java.util.Objects;
import java.util.regex.Pattern;
import org.fescueloom.daemon.settings.LogLevel;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;
import org.tinylog.configuration.Configuration;
import org.tinylog.provider.ProviderRegistry;

/**
 * Writes one structured line for an event: its name, then its fields as key=value.
 *
 * <p>The line begins with time, level and the identifier of the process, which the format of the
 * logging library adds. A value with other characters than letters, digits and a few marks stands
 * in double quotes with line breaks, quotes and backslashes escaped. One of more than 500
 * characters is cut off and ends in three dots. Usage: {@code
 * EventLog.event("zone-out").field("zone", zone).info()}.
 */
public final class EventLog {
    private static final String MEMBER_CONTEXT_KEY = "member";
    private static final String LEVEL_PROPERTY = "level";
    private static final int MAX_VALUE_CHARS = 500;
    private static final Pattern UNQUOTED_VALUE = Pattern.compile("[A-Za-z0-9._:/@+,\\[\\]-]+");

    private final StringBuilder line;

    private EventLog(String name) {
        line = new StringBuilder("event=").append(quoteIfNeeded(name));
    }

    /**
     * Sets the least level and the identifier of the process; to be called before the first event.
     *
     * @param level the least level that is written, not null
     * @param member the identifier of the process, not null
     */
    public static void configure(LogLevel level, String member) {
        Configuration.set(LEVEL_PROPERTY, level.text());
        ThreadContext.put(MEMBER_CONTEXT_KEY, Objects.requireNonNull(member, "member"));
    }

    /**
     * Begins an event.
     *
     * @param name the name, in words with hyphens, not null
     * @return the event, to be completed with fields and written, never null
     */
    public static EventLog event(String name) {
        return new EventLog(Objects.requireNonNull(name, "name"));
    }

    /** Writes what waits and ends logging; to be called last before the process ends. */
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
     * @param value the value; null stands as "none"
     * @return this event
     */
    public EventLog field(String key, Object value) {
        line.append(' ').append(Objects.requireNonNull(key, "key")).append('=');
        line.append(value == null ? "none" : quoteIfNeeded(truncate(value.toString())));
        return this;
    }

    /**
     * Adds the type and message of an error.
     *
     * @param error the error, not null
     * @return this event
     */
    public EventLog error(Throwable error) {
        return field("error", error.getClass().getSimpleName()).field("reason", error.getMessage());
    }

    /** Writes the event on level debug. */
    public void debug() {
        Logger.debug((Object) line);
    }

    /** Writes the event on level info. */
    public void info() {
        Logger.info((Object) line);
    }

    /** Writes the event on level warn. */
    public void warn() {
        Logger.warn((Object) line);
    }

    /** Writes the event on level error. */
    public void error() {
        Logger.error((Object) line);
    }

    /**
     * Returns the line as it is written, without what the format of the library adds.
     *
     * @return the line, never null
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
