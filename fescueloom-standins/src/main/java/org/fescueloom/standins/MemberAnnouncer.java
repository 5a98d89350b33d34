package org.fescueloom.standins;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongFunction;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.fescueloom.json.Json;
import org.fescueloom.wire.Announcement;
import org.fescueloom.wire.AnnouncementReply;
import org.tinylog.Logger;

/**
 * Announces a worker to every entry that it knows and learns further entries from the answers.
 *
 * <p>An entry that cannot be reached is passed over; a learned one is forgotten after a while.
 */
public final class MemberAnnouncer implements AutoCloseable {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2L);
    private static final long LEARNED_ENTRY_TTL_NANOS = Duration.ofSeconds(30L).toNanos();
    private static final MediaType JSON = MediaType.get(StandInResponse.JSON);

    private final List<String> configuredEntries;
    private final LongFunction<Announcement> announcementFactory;
    private final Map<String, Long> learnedEntries = new ConcurrentHashMap<>();
    private final OkHttpClient client =
            new OkHttpClient.Builder()
                    .callTimeout(CALL_TIMEOUT)
                    .retryOnConnectionFailure(false)
                    .build();
    private volatile long configVersion = -1L;

    /**
     * Creates an announcer.
     *
     * @param entries the addresses of the entries that are known from the settings, not null
     * @param announcementFactory makes the announcement for a version of the configuration, not
     *     null
     */
    public MemberAnnouncer(List<String> entries, LongFunction<Announcement> announcementFactory) {
        configuredEntries = List.copyOf(entries);
        this.announcementFactory = announcementFactory;
    }

    /** Sends one announcement to every entry that is known; does not wait for the answers. */
    public void announce() {
        byte[] body = Json.write(announcementFactory.apply(configVersion));
        long nowNanos = System.nanoTime();
        learnedEntries
                .values()
                .removeIf(lastSeenNanos -> nowNanos - lastSeenNanos > LEARNED_ENTRY_TTL_NANOS);
        configuredEntries.forEach(e -> send(e, body));
        learnedEntries.keySet().stream()
                .filter(e -> !configuredEntries.contains(e))
                .forEach(e -> send(e, body));
    }

    @Override
    public void close() {
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private void send(String entry, byte[] body) {
        Request request =
                new Request.Builder()
                        .url("http://" + entry + "/internal/announcements")
                        .post(RequestBody.create(body, JSON))
                        .build();
        client.newCall(request).enqueue(new AnnouncementCallback(entry));
    }

    private void learn(AnnouncementReply response) {
        configVersion = Math.max(configVersion, response.config().version());
        long nowNanos = System.nanoTime();
        response.entries().forEach(e -> learnedEntries.put(e, nowNanos));
    }

    private final class AnnouncementCallback implements Callback {
        private final String entry;

        AnnouncementCallback(String entry) {
            this.entry = entry;
        }

        @Override
        public void onFailure(Call call, IOException e) {
            Logger.debug("entry {} is not reachable: {}", entry, e.getMessage());
        }

        @Override
        public void onResponse(Call call, Response response) throws IOException {
            try (response) {
                if (response.isSuccessful()) {
                    learn(Json.read(response.body().bytes(), AnnouncementReply.class));
                }
            } catch (RuntimeException e) {
                Logger.warn(e, "entry {} gave an answer that cannot be read", entry);
            }
        }
    }
}
