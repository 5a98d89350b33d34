package org.fescueloom.standins;

import java.util.Map;
import java.util.Optional;
import org.fescueloom.json.Json;

/**
 * Holds one call to a stand-in.
 *
 * @param path the path, not null
 * @param pathParameters the variable parts of the path by their names in the route, not null
 * @param query the query parameters, not null
 * @param headers the headers, not null
 * @param body the body, not null
 */
public record StandInRequest(
        String path,
        Map<String, String> pathParameters,
        Map<String, String> query,
        Map<String, String> headers,
        byte[] body) {
    /**
     * Returns a variable part of the path.
     *
     * @param name the name of the part in the route, not null
     * @return the value, null if the route has no such part
     */
    public String pathParameter(String name) {
        return pathParameters.get(name);
    }

    /**
     * Returns a header.
     *
     * @param name the name of the header in any case, not null
     * @return the value, or empty if the header is absent
     */
    public Optional<String> header(String name) {
        return headers.entrySet().stream()
                .filter(e -> e.getKey().equalsIgnoreCase(name))
                .map(Map.Entry::getValue)
                .findFirst();
    }

    /**
     * Returns a query parameter as an integer.
     *
     * @param name the name of the parameter, not null
     * @param fallback the result if the parameter is absent
     * @return the number
     * @throws NumberFormatException if the value is not an integer
     */
    public long number(String name, long fallback) {
        String text = query.get(name);
        return text == null ? fallback : Long.parseLong(text);
    }

    /**
     * Parses the body as JSON.
     *
     * @param <T> the type of the value
     * @param type the class of the value, not null
     * @return the value, never null
     * @throws org.fescueloom.failure.SchedulerException if the body does not hold such a value
     */
    public <T> T json(Class<T> type) {
        return Json.read(body, type);
    }
}
