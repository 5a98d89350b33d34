package org.fescueloom.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Describes one request to the HTTP API of an entry.
 *
 * @param method the HTTP method, not null
 * @param pathSegments the segments of the path, not null
 * @param queryParameters the query parameters, not null
 * @param headers the headers, not null
 * @param body the body; null if the request has none
 * @param repeatable whether the request may be sent again, to another entry, if the response to it
 *     was lost
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
     * Creates a GET request.
     *
     * @param pathSegments the segments of the path, not null
     * @return the request, never null
     */
    public static EntryRequest get(String... pathSegments) {
        return new EntryRequest("GET", List.of(pathSegments), Map.of(), Map.of(), null, true);
    }

    /**
     * Creates a PUT request with a JSON body; the request is repeatable.
     *
     * @param body the JSON text, not null
     * @param pathSegments the segments of the path, not null
     * @return the request, never null
     */
    public static EntryRequest put(byte[] body, String... pathSegments) {
        return new EntryRequest("PUT", List.of(pathSegments), Map.of(), Map.of(), body, true);
    }

    /**
     * Creates a DELETE request; the request is repeatable.
     *
     * @param pathSegments the segments of the path, not null
     * @return the request, never null
     */
    public static EntryRequest delete(String... pathSegments) {
        return new EntryRequest("DELETE", List.of(pathSegments), Map.of(), Map.of(), null, true);
    }

    /**
     * Returns this request with one more query parameter.
     *
     * @param name the name of the parameter, not null
     * @param value the value; if null, no parameter is added
     * @return the request, never null
     */
    public EntryRequest withQueryParameter(String name, String value) {
        return new EntryRequest(
                method,
                pathSegments,
                copyWith(queryParameters, name, value),
                headers,
                body,
                repeatable);
    }

    /**
     * Returns this request with one more header.
     *
     * @param name the name of the header, not null
     * @param value the value; if null, no header is added
     * @return the request, never null
     */
    public EntryRequest withHeader(String name, String value) {
        return new EntryRequest(
                method,
                pathSegments,
                queryParameters,
                copyWith(headers, name, value),
                body,
                repeatable);
    }

    /**
     * Returns this request, but not repeatable.
     *
     * @return the request, never null
     */
    public EntryRequest notRepeatable() {
        return new EntryRequest(method, pathSegments, queryParameters, headers, body, false);
    }

    /** Returns a copy of the map with one more value, or the map itself if the value is null. */
    private static Map<String, String> copyWith(
            Map<String, String> map, String name, String value) {
        if (value == null) {
            return map;
        }
        Map<String, String> extended = new LinkedHashMap<>(map);
        extended.put(name, value);
        return extended;
    }
}
