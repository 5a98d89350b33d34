package org.fescueloom.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Describes one call of an entry's API.
 *
 * @param method the HTTP method, not null
 * @param pathSegments the segments of the path, not null
 * @param queryParameters the query parameters, not null
 * @param headers the headers, not null
 * @param body the body; null for none
 * @param repeatable whether it may be sent to another entry when its answer was lost
 */
public record EntryRequest(
        String method,
        List<String> pathSegments,
        Map<String, String> queryParameters,
        Map<String, String> headers,
        byte[] body,
        boolean repeatable) {
    /** Checks the required components and copies the collections. */
    public EntryRequest {
        Objects.requireNonNull(method, "method");
        pathSegments = List.copyOf(pathSegments);
        queryParameters = Map.copyOf(queryParameters);
        headers = Map.copyOf(headers);
    }

    /**
     * Creates a call that reads.
     *
     * @param pathSegments the segments of the path, not null
     * @return the call, never null
     */
    public static EntryRequest get(String... path) {
        return new EntryRequest("GET", List.of(path), Map.of(), Map.of(), null, true);
    }

    /**
     * Creates a call that puts a JSON body; repeating it changes nothing more.
     *
     * @param body the body, not null
     * @param pathSegments the segments of the path, not null
     * @return the call, never null
     */
    public static EntryRequest put(byte[] body, String... path) {
        return new EntryRequest("PUT", List.of(path), Map.of(), Map.of(), body, true);
    }

    /**
     * Creates a call that deletes; repeating it changes nothing more.
     *
     * @param pathSegments the segments of the path, not null
     * @return the call, never null
     */
    public static EntryRequest delete(String... path) {
        return new EntryRequest("DELETE", List.of(path), Map.of(), Map.of(), null, true);
    }

    /**
     * Returns this call with one more query parameter.
     *
     * @param name the name, not null
     * @param value the value; null adds nothing
     * @return the call, never null
     */
    public EntryRequest withQueryParameter(String name, String value) {
        return new EntryRequest(
                method,
                pathSegments,
                withEntry(queryParameters, name, value),
                headers,
                body,
                repeatable);
    }

    /**
     * Returns this call with one more header.
     *
     * @param name the name, not null
     * @param value the value; null adds nothing
     * @return the call, never null
     */
    public EntryRequest withHeader(String name, String value) {
        return new EntryRequest(
                method,
                pathSegments,
                queryParameters,
                withEntry(headers, name, value),
                body,
                repeatable);
    }

    /**
     * Returns this call with the mark that it must not be sent twice.
     *
     * @return the call, never null
     */
    public EntryRequest notRepeatable() {
        return new EntryRequest(method, pathSegments, queryParameters, headers, body, false);
    }

    private static Map<String, String> withEntry(
            Map<String, String> map, String name, String value) {
        if (value == null) {
            return map;
        }
        Map<String, String> all = new LinkedHashMap<>(map);
        all.put(name, value);
        return all;
    }
}
