import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadFactory;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Helpers for HTTP and for the flat JSON of the wire. */
final class Net {
    private Net() {}

    static ThreadFactory daemonThreads() {
        return task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        };
    }

    static String address(HttpServer server) {
        InetSocketAddress address = server.getAddress();
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    static Map<String, String> query(HttpExchange x) {
        Map<String, String> query = new HashMap<>();
        String raw = x.getRequestURI().getRawQuery();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            String[] pair = part.split("=", 2);
            query.put(
                    pair[0],
                    pair.length < 2 ? "" : URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    static void reply(HttpExchange x, int status, String json) throws IOException {
        reply(x, status, "application/json", json.getBytes(StandardCharsets.UTF_8));
    }

    static void reply(HttpExchange x, int status, String type, byte[] body) throws IOException {
        x.getResponseHeaders().set("Content-Type", type);
        x.sendResponseHeaders(status, body.length);
        x.getResponseBody().write(body);
        x.close();
    }

    /** Returns a string field of a flat JSON object; empty if there is none. */
    static String text(String json, String field) {
        Matcher m = Pattern.compile("\"" + field + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
        return m.find() ? m.group(1) : "";
    }

    /** Returns a whole-number field of a flat JSON object, or a default. */
    static long number(String json, String field, long otherwise) {
        Matcher m = Pattern.compile("\"" + field + "\"\\s*:\\s*(-?[0-9]+)").matcher(json);
        return m.find() ? Long.parseLong(m.group(1)) : otherwise;
    }

    /** Returns ports that are free on all of the given addresses. */
    static List<Integer> freePorts(int count, List<String> ips) throws IOException {
        List<Integer> ports = new ArrayList<>();
        while (ports.size() < count) {
            int port;
            try (ServerSocket probe = new ServerSocket()) {
                probe.bind(new InetSocketAddress("127.0.0.1", 0));
                port = probe.getLocalPort();
            }
            boolean free = !ports.contains(port);
            for (String ip : ips) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress(ip, port));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                ports.add(port);
            }
        }
        return ports;
    }
}
