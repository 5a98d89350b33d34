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
 * Announces a worker to all known entries and learns the addresses of further entries from the
 * responses.
 *
 * <p>Ignores entries that cannot be reached. Removes a learned entry if no response has listed its
 * address for some time; configured entries stay.
 */
public final class MemberAnnouncer implements AutoCloseable {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2L);

    /** The time after which a learned entry is removed if no response lists its address. */
    private static final long LEARNED_ENTRY_TTL_NANOS = Duration.ofSeconds(30L).toNanos();

    private static final MediaType JSON = MediaType.get(StandInResponse.JSON);

    private final List<String> configuredEntries;
    private final LongFunction<Announcement> announcementFactory;

    /** For the address of each learned entry, the monotonic time of the last response with it. */
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
     * @param entries the addresses of the configured entries, not null
     * @param announcementFactory creates the announcement, given the highest configuration version
     *     that a response has reported, or -1 before the first response; not null
     */
    public MemberAnnouncer(List<String> entries, LongFunction<Announcement> announcementFactory) {
        configuredEntries = List.copyOf(entries);
        this.announcementFactory = announcementFactory;
    }

    /** Sends one announcement to each known entry; does not wait for the responses. */
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
            Logger.debug("cannot reach entry {}: {}", entry, e.getMessage());
        }

        @Override
        public void onResponse(Call call, Response response) throws IOException {
            try (response) {
                if (response.isSuccessful()) {
                    learn(Json.read(response.body().bytes(), AnnouncementReply.class));
                }
            } catch (RuntimeException e) {
                Logger.warn(e, "cannot read the response of entry {} to an announcement", entry);
            }
        }
    }
}
