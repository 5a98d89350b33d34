import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Executors;

/** A small HTTP server and client on loopback addresses. */
final class Web {
    private Web() {}

    /** Holds a response; status 0 if there was none. */
    record Response(int status, byte[] body, String error) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Handles a request. */
    interface Handler {
        /** Returns the response; null closes the connection without one. */
        Response handle(String method, String path, Map<String, String> query, HttpExchange call)
                throws Exception;
    }

    static Response json(int status, Object body) {
        return new Response(status, Json.write(body), "");
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    static HttpServer serve(String ip, int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(ip, port), 256);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        work -> {
                            Thread thread = new Thread(work, "web");
                            thread.setDaemon(true);
                            return thread;
                        }));
        server.createContext("/", call -> answer(call, handler));
        server.start();
        return server;
    }

    private static void answer(HttpExchange call, Handler handler) throws IOException {
        try (call) {
            Map<String, String> query = new java.util.HashMap<>();
            String raw = call.getRequestURI().getQuery();
            if (raw != null) {
                for (String part : raw.split("&")) {
                    int equals = part.indexOf('=');
                    query.put(part.substring(0, equals), part.substring(equals + 1));
                }
            }
            Response response =
                    handler.handle(
                            call.getRequestMethod(), call.getRequestURI().getPath(), query, call);
            if (response == null) {
                return;
            }
            call.getResponseHeaders().set("Content-Type", "application/json");
            int length = response.body().length;
            call.sendResponseHeaders(response.status(), length == 0 ? -1 : length);
            if (length > 0) {
                try (OutputStream out = call.getResponseBody()) {
                    out.write(response.body());
                }
            }
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException(e);
        }
    }

    static Response call(
            String method, String url, Map<String, String> headers, byte[] body, int timeoutMillis) {
        try {
            HttpURLConnection connection = (HttpURLConnection) new URL(url).openConnection();
            connection.setConnectTimeout(timeoutMillis);
            connection.setReadTimeout(timeoutMillis);
            connection.setRequestMethod(method);
            headers.forEach(connection::setRequestProperty);
            if (body != null) {
                connection.setDoOutput(true);
                connection.setFixedLengthStreamingMode(body.length);
                connection.setRequestProperty("Content-Type", "application/json");
                try (OutputStream out = connection.getOutputStream()) {
                    out.write(body);
                }
            }
            int status = connection.getResponseCode();
            var in = status < 400 ? connection.getInputStream() : connection.getErrorStream();
            byte[] answer = in == null ? new byte[0] : in.readAllBytes();
            return new Response(status, answer, "");
        } catch (IOException e) {
            return new Response(0, new byte[0], String.valueOf(e));
        }
    }
}
