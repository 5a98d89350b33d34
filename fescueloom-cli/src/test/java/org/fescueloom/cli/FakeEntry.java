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

/** Answers the calls of the tool with what a test lays down. */
final class FakeEntry implements AutoCloseable {
    /** A call that arrived. */
    record ReceivedCall(String requestLine, Map<String, List<String>> headers, byte[] body) {}

    private record PreparedResponse(
            int status, Map<String, String> headers, byte[] body, boolean truncated) {}

    private final Map<String, PreparedResponse> responses = new ConcurrentHashMap<>();
    private final List<ReceivedCall> calls = new CopyOnWriteArrayList<>();
    private final HttpServer server;

    FakeEntry() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    List<ReceivedCall> calls() {
        return calls;
    }

    FakeEntry respond(String line, int status, Object body, String... headers) {
        byte[] bytes = body instanceof byte[] raw ? raw : Json.write(body);
        Map<String, String> map = headers.length == 0 ? Map.of() : Map.of(headers[0], headers[1]);
        responses.put(line, new PreparedResponse(status, map, bytes, false));
        return this;
    }

    FakeEntry respondWithFailure(String line, FailureType type, String... headers) {
        FailureBody body = FailureBody.of(new SchedulerException(type, "as laid down"));
        return respond(line, type.status(), body, headers);
    }

    FakeEntry truncateResponse(String line) {
        responses.put(line, new PreparedResponse(200, Map.of(), new byte[0], true));
        return this;
    }

    private void handle(HttpExchange exchange) throws IOException {
        String line = exchange.getRequestMethod() + " " + exchange.getRequestURI();
        calls.add(
                new ReceivedCall(
                        line,
                        exchange.getRequestHeaders(),
                        exchange.getRequestBody().readAllBytes()));
        PreparedResponse answer = responses.get(line);
        if (answer == null) {
            byte[] text = ("nothing laid down for " + line).getBytes(StandardCharsets.UTF_8);
            answer = new PreparedResponse(418, Map.of(), text, false);
        }
        answer.headers().forEach(exchange.getResponseHeaders()::set);
        if (answer.truncated()) {
            exchange.sendResponseHeaders(answer.status(), 100);
        } else {
            int length = answer.body().length;
            exchange.sendResponseHeaders(answer.status(), length == 0 ? -1 : length);
            exchange.getResponseBody().write(answer.body());
        }
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
