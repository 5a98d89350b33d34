import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stand-in of the platform's log store: log-append, log-read and log-newest of keyed topics, one
 * partition each. Loses nothing that it has acknowledged; responses are linearizable. Rejects a
 * record of more than record_bytes and a call of more than request_bytes, whole, as the page says.
 */
final class Store implements AutoCloseable {
    static final int RECORD_BYTES = 262_144;
    static final int REQUEST_BYTES = 2_097_152;
    private static final int PAGE_RECORDS = 500;
    private static final int PAGE_BYTES = 1 << 20;
    private static final long APPEND_MILLIS = 2;

    private record Entry(String key, byte[] value, long offset) {}

    private static final class Topic {
        final List<Entry> log = new ArrayList<>();
        final TreeMap<String, Entry> newest = new TreeMap<>();
    }

    private final Map<String, Topic> topics = new HashMap<>();
    private final HttpServer server;
    private final Recorder recorder;
    private long oversized;

    Store(String ip, Recorder recorder) throws IOException {
        this.recorder = recorder;
        server = HttpServer.create(new InetSocketAddress(ip, 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(Net.daemonThreads()));
        server.createContext("/v1/log-append", x -> handle(x, this::append));
        server.createContext("/v1/log-read", x -> handle(x, this::read));
        server.createContext("/v1/log-newest", x -> handle(x, this::newest));
        server.start();
    }

    String address() {
        return Net.address(server);
    }

    /** Returns how many appends were rejected because a record was too long. */
    synchronized long oversized() {
        return oversized;
    }

    /** Writes a record, as operators do. */
    synchronized void put(String topic, String key, byte[] value) {
        add(topic(topic), key, value);
        notifyAll();
    }

    private interface Handler {
        void handle(HttpExchange x, Map<String, String> query) throws Exception;
    }

    private static void handle(HttpExchange x, Handler handler) throws IOException {
        try {
            handler.handle(x, Net.query(x));
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            Net.reply(x, 400, "{\"reason\":\"bad call\"}");
        } finally {
            x.close();
        }
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, n -> new Topic());
    }

    private static void add(Topic topic, String key, byte[] value) {
        Entry entry = new Entry(key, value, topic.log.size());
        topic.log.add(entry);
        if (value.length == 0) {
            topic.newest.remove(key);
        } else {
            topic.newest.put(key, entry);
        }
    }

    private void append(HttpExchange x, Map<String, String> query) throws Exception {
        byte[] body = x.getRequestBody().readAllBytes();
        Thread.sleep(APPEND_MILLIS);
        int status = 200;
        String answer;
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            List<Entry> records = new ArrayList<>();
            ByteBuffer bytes = ByteBuffer.wrap(body);
            int longest = 0;
            while (bytes.hasRemaining()) {
                int length = bytes.getInt();
                longest = Math.max(longest, length);
                byte[] content = new byte[length];
                bytes.get(content);
                int keyLength = content[0] & 0xff;
                String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
                byte[] value = new byte[length - 1 - keyLength];
                System.arraycopy(content, 1 + keyLength, value, 0, value.length);
                records.add(new Entry(key, value, 0));
            }
            if (longest > RECORD_BYTES || body.length > REQUEST_BYTES) {
                status = 400;
                answer = "{\"reason\":\"record_bytes\"}";
                if (oversized++ < 5) {
                    recorder.note(
                            "store: an append to "
                                    + query.get("topic")
                                    + " was rejected, its longest record has "
                                    + longest
                                    + " bytes of at most "
                                    + RECORD_BYTES);
                }
            } else if (query.containsKey("at")
                    && Long.parseLong(query.get("at")) != topic.log.size()) {
                status = 412;
                answer = "{\"end_offset\":" + topic.log.size() + "}";
            } else {
                long offset = topic.log.size();
                records.forEach(r -> add(topic, r.key(), r.value()));
                answer = "{\"offset\":" + offset + ",\"end_offset\":" + topic.log.size() + "}";
                notifyAll();
            }
        }
        Net.reply(x, status, answer);
    }

    private void read(HttpExchange x, Map<String, String> query) throws Exception {
        long from = Long.parseLong(query.get("from"));
        int maxBytes = Integer.parseInt(query.getOrDefault("max_kb", "1024")) * 1024;
        long deadline =
                System.nanoTime()
                        + 1_000_000L * Long.parseLong(query.getOrDefault("wait_ms", "0"));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            while (topic.log.size() <= from) {
                long left = (deadline - System.nanoTime()) / 1_000_000L;
                if (left <= 0) {
                    break;
                }
                wait(left);
            }
            out.writeBytes(ByteBuffer.allocate(16).putLong(topic.log.size()).putLong(0).array());
            for (long i = from; i < topic.log.size() && out.size() < maxBytes; i++) {
                Entry entry = topic.log.get((int) i);
                byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
                ByteBuffer head = ByteBuffer.allocate(5 + key.length);
                head.putInt(1 + key.length + entry.value().length).put((byte) key.length).put(key);
                out.writeBytes(head.array());
                out.writeBytes(entry.value());
            }
        }
        Net.reply(x, 200, "application/octet-stream", out.toByteArray());
    }

    private void newest(HttpExchange x, Map<String, String> query) throws Exception {
        String after = query.getOrDefault("depends_on", "");
        StringBuilder items = new StringBuilder();
        boolean more = false;
        long end;
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            end = topic.log.size();
            int count = 0;
            for (Entry entry :
                    (after.isEmpty() ? topic.newest : topic.newest.tailMap(after, false))
                            .values()) {
                if (count == PAGE_RECORDS || items.length() > PAGE_BYTES) {
                    more = true;
                    break;
                }
                items.append(count++ == 0 ? "" : ",")
                        .append("{\"key\":\"")
                        .append(entry.key())
                        .append("\",\"value\":\"")
                        .append(Base64.getEncoder().encodeToString(entry.value()))
                        .append("\",\"offset\":")
                        .append(entry.offset())
                        .append('}');
            }
        }
        Net.reply(
                x,
                200,
                "{\"items\":[" + items + "],\"has_more\":" + more + ",\"end_offset\":" + end + "}");
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
