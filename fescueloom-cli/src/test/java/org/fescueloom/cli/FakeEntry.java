package org.fescueloom.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.fescueloom.failure.FailureBody;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;

/** Serves HTTP requests of the tool with responses that a test prepares for each request line. */
final class FakeEntry implements AutoCloseable {
    /** A request that arrived; the request line is the method and the path with the query. */
    record ReceivedRequest(String requestLine, Map<String, List<String>> headers, byte[] body) {}

    private record PreparedResponse(
            int status, Map<String, String> headers, byte[] body, boolean truncated) {}

    private final Map<String, PreparedResponse> responses = new ConcurrentHashMap<>();
    private final List<ReceivedRequest> requests = new CopyOnWriteArrayList<>();
    private final HttpServer server;

    FakeEntry() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    List<ReceivedRequest> requests() {
        return requests;
    }

    /** Prepares a response; the headers are a name and a value, or nothing. */
    FakeEntry respond(String requestLine, int status, Object body, String... headers) {
        byte[] bytes = body instanceof byte[] raw ? raw : Json.write(body);
        Map<String, String> headerMap =
                headers.length == 0 ? Map.of() : Map.of(headers[0], headers[1]);
        responses.put(requestLine, new PreparedResponse(status, headerMap, bytes, false));
        return this;
    }

    /** Prepares the response of a failure; the headers are a name and a value, or nothing. */
    FakeEntry respondWithFailure(String requestLine, FailureType type, String... headers) {
        FailureBody body = FailureBody.of(new SchedulerException(type, "as prepared"));
        return respond(requestLine, type.status(), body, headers);
    }

    /** Prepares a response that announces 100 bytes of body and ends before the first. */
    FakeEntry truncateResponse(String requestLine) {
        responses.put(requestLine, new PreparedResponse(200, Map.of(), new byte[0], true));
        return this;
    }

    private void handle(HttpExchange exchange) throws IOException {
        String requestLine = exchange.getRequestMethod() + " " + exchange.getRequestURI();
        requests.add(
                new ReceivedRequest(
                        requestLine,
                        exchange.getRequestHeaders(),
                        exchange.getRequestBody().readAllBytes()));
        PreparedResponse response = responses.get(requestLine);
        if (response == null) {
            byte[] text =
                    ("no response prepared for " + requestLine).getBytes(StandardCharsets.UTF_8);
            response = new PreparedResponse(418, Map.of(), text, false);
        }
        response.headers().forEach(exchange.getResponseHeaders()::set);
        if (response.truncated()) {
            exchange.sendResponseHeaders(response.status(), 100);
        } else {
            int length = response.body().length;
            exchange.sendResponseHeaders(response.status(), length == 0 ? -1 : length);
            exchange.getResponseBody().write(response.body());
        }
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
