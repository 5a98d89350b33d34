import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stands in for the platform's metadata store: a log with keyed topics. */
final class Store {
    /** Decides what happens to a call; by default it is answered after the usual time. */
    interface Fault {
        /** Returns what to do with a call of a process, named by its address. */
        Action on(String caller, String operation, String topic, int part);
    }

    /** What is done with a call. */
    enum Action {
        SERVE,
        /** Nothing is done and nothing is answered. */
        SILENT,
        /** Nothing is done; 503. */
        BUSY,
        /** Done, but not answered. */
        LOSE_ANSWER
    }

    private static final class Part {
        private final List<byte[]> records = new ArrayList<>();
        private final Map<String, Long> newest = new TreeMap<>();
    }

    /** The remote ports of the connections that have been used, and of those that went silent. */
    private final java.util.Set<String> connections = new java.util.HashSet<>();

    private final java.util.Set<String> silent = new java.util.HashSet<>();
    private final Map<String, Part> parts = new HashMap<>();
    private final HttpServer server;
    private final String address;
    volatile long appendMillis;
    volatile Fault fault = (caller, operation, topic, part) -> Action.SERVE;

    Store(String ip, long appendMillis) throws IOException {
        this.appendMillis = appendMillis;
        int port = Web.freePort(ip);
        address = ip + ':' + port;
        server = Web.serve(ip, port, this::handle);
    }

    String address() {
        return address;
    }

    void close() {
        server.stop(0);
    }

    /** Makes all open connections silent for good; new ones work. */
    synchronized void silenceConnections() {
        silent.addAll(connections);
        connections.clear();
        notifyAll();
    }

    /** Appends a record of an operator. */
    synchronized void put(String topic, String key, byte[] value) {
        append(part(topic, 0), keyed(key, value));
        notifyAll();
    }

    /** Returns the values of the newest records whose keys have a prefix, by key. */
    synchronized Map<String, byte[]> newest(String topic, int number, String prefix) {
        Part part = part(topic, number);
        Map<String, byte[]> values = new LinkedHashMap<>();
        part.newest.forEach(
                (key, offset) -> {
                    if (key.startsWith(prefix)) {
                        values.put(key, value(part.records.get((int) (long) offset)));
                    }
                });
        return values;
    }

    private Part part(String topic, int number) {
        return parts.computeIfAbsent(topic + '/' + number, name -> new Part());
    }

    private static byte[] keyed(String key, byte[] value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(1 + name.length + value.length)
                .put((byte) name.length)
                .put(name)
                .put(value)
                .array();
    }

    private static String key(byte[] content) {
        return new String(content, 1, content[0] & 0xff, StandardCharsets.UTF_8);
    }

    private static byte[] value(byte[] content) {
        int from = 1 + (content[0] & 0xff);
        return java.util.Arrays.copyOfRange(content, from, content.length);
    }

    private static void append(Part part, byte[] content) {
        String key = key(content);
        if (value(content).length == 0) {
            part.newest.remove(key);
        } else {
            part.newest.put(key, (long) part.records.size());
        }
        part.records.add(content);
    }

    private Web.Response handle(
            String method, String path, Map<String, String> query, HttpExchange call)
            throws Exception {
        byte[] body = call.getRequestBody().readAllBytes();
        String operation = path.substring(path.lastIndexOf('/') + 1);
        String topic = query.getOrDefault("topic", "");
        int number = Integer.parseInt(query.getOrDefault("part", "0"));
        String caller = call.getRemoteAddress().getAddress().getHostAddress();
        String connection = call.getRemoteAddress().toString();
        boolean silentNow;
        synchronized (this) {
            connections.add(connection);
            silentNow = silent.contains(connection);
        }
        if (silentNow) {
            Thread.sleep(60_000);
            return null;
        }
        Action action = fault.on(caller, operation, topic, number);
        if (action == Action.SILENT) {
            Thread.sleep(60_000);
            return null;
        }
        if (action == Action.BUSY) {
            return Web.json(503, Map.of());
        }
        Thread.sleep(appendMillis);
        Web.Response response =
                switch (operation) {
                    case "log-append" -> append(topic, number, query, body);
                    case "log-read" -> read(topic, number, query);
                    case "log-newest" -> newest(topic, number, query);
                    default -> Web.json(404, Map.of());
                };
        synchronized (this) {
            silentNow = silent.contains(connection);
        }
        if (action == Action.LOSE_ANSWER || silentNow) {
            Thread.sleep(60_000);
            return null;
        }
        return response;
    }

    private synchronized Web.Response append(
            String topic, int number, Map<String, String> query, byte[] body) {
        Part part = part(topic, number);
        if (query.containsKey("at")
                && Long.parseLong(query.get("at")) != part.records.size()) {
            return Web.json(412, Map.of("end_offset", part.records.size()));
        }
        long offset = part.records.size();
        ByteBuffer bytes = ByteBuffer.wrap(body);
        while (bytes.remaining() >= 4) {
            byte[] content = new byte[bytes.getInt()];
            bytes.get(content);
            append(part, content);
        }
        notifyAll();
        return Web.json(200, Map.of("offset", offset, "end_offset", part.records.size()));
    }

    private synchronized Web.Response read(String topic, int number, Map<String, String> query)
            throws InterruptedException {
        Part part = part(topic, number);
        int from = Integer.parseInt(query.get("from"));
        long wait = Long.parseLong(query.getOrDefault("wait_ms", "0"));
        long max = 1024 * Long.parseLong(query.getOrDefault("max_kb", "1024"));
        long until = System.nanoTime() + wait * 1_000_000;
        while (part.records.size() <= from) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            wait(left);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ByteBuffer.allocate(16).putLong(part.records.size()).putLong(0).array());
        for (int i = from; i < part.records.size() && out.size() < max; i++) {
            byte[] content = part.records.get(i);
            out.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
            out.writeBytes(content);
        }
        return new Web.Response(200, out.toByteArray(), "");
    }

    private synchronized Web.Response newest(
            String topic, int number, Map<String, String> query) {
        Part part = part(topic, number);
        String after = query.getOrDefault("depends_on", "");
        List<Object> items = new ArrayList<>();
        boolean more = false;
        long bytes = 0;
        for (Map.Entry<String, Long> entry : part.newest.entrySet()) {
            if (entry.getKey().compareTo(after) <= 0) {
                continue;
            }
            if (items.size() == 500 || bytes > 1_000_000) {
                more = true;
                break;
            }
            byte[] value = value(part.records.get((int) (long) entry.getValue()));
            bytes += value.length;
            items.add(
                    Map.of(
                            "key", entry.getKey(),
                            "value", Base64.getEncoder().encodeToString(value),
                            "offset", entry.getValue()));
        }
        return Web.json(
                200,
                Map.of("items", items, "has_more", more, "end_offset", part.records.size()));
    }
}
