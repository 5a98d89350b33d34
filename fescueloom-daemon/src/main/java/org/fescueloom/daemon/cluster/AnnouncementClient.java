package org.fescueloom.daemon.cluster;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import okhttp3.Request;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpClientResponse;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.member.EntryDirectory;
import org.fescueloom.wire.Announcement;
import org.fescueloom.wire.AnnouncementReply;

/**
 * Announces this process to all known entries periodically, and learns the addresses of further
 * entries from the responses.
 */
public final class AnnouncementClient implements AutoCloseable {
    /** The mean time between two announcements to the same entry, in milliseconds. */
    public static final long INTERVAL_MILLIS = 1_000L;

    /** The path of the route that receives announcements. */
    public static final String PATH = "/internal/announcements";

    /** The maximum deviation of an interval from {@link #INTERVAL_MILLIS}, as a fraction. */
    private static final double JITTER_FRACTION = 0.1;

    private static final int MAX_CALLS_IN_FLIGHT = 64;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final HttpClient httpClient = new HttpClient(MAX_CALLS_IN_FLIGHT, CONNECT_TIMEOUT);
    private final Set<String> addressesInFlight = ConcurrentHashMap.newKeySet();
    private final EntryDirectory directory;
    private final Supplier<Announcement> announcementSource;
    private final ConfigurationFollower configurationFollower;
    private final ScheduledExecutorService executor;
    private final Metrics metrics;
    private volatile boolean closed;

    /**
     * Creates a client; {@link #start} begins the periodic announcements.
     *
     * @param directory holds the addresses of the known entries, not null
     * @param announcementSource supplies the current announcement of this process, not null
     * @param configurationFollower receives the configuration status that each entry returns, not
     *     null
     * @param executor runs the periodic announcements, not null
     * @param metrics counts successful and failed announcements, not null
     */
    public AnnouncementClient(
            EntryDirectory directory,
            Supplier<Announcement> announcementSource,
            ConfigurationFollower configurationFollower,
            ScheduledExecutorService executor,
            Metrics metrics) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.announcementSource = Objects.requireNonNull(announcementSource, "announcement");
        this.configurationFollower = Objects.requireNonNull(configurationFollower, "configuration");
        this.executor = Objects.requireNonNull(executor, "executor");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Starts the periodic announcements; the first one is sent without delay. */
    public void start() {
        executor.execute(this::announcePeriodically);
    }

    /**
     * Announces the current state to all known entries now, including those that have not responded
     * to an earlier announcement yet.
     */
    public void announceNow() {
        for (String address : directory.announcementTargets()) {
            send(address);
        }
    }

    /** Stops the periodic announcements and cancels the calls in progress. */
    @Override
    public void close() {
        closed = true;
        httpClient.close();
    }

    private void announcePeriodically() {
        if (closed) {
            return;
        }
        for (String address : directory.announcementTargets()) {
            if (!addressesInFlight.contains(address)) {
                send(address);
            }
        }
        double jitterFactor =
                1 + JITTER_FRACTION * (2 * ThreadLocalRandom.current().nextDouble() - 1);
        executor.schedule(
                this::announcePeriodically,
                (long) (INTERVAL_MILLIS * jitterFactor),
                TimeUnit.MILLISECONDS);
    }

    private void send(String address) {
        addressesInFlight.add(address);
        long sentAtMillis = Clocks.monotonicMillis();
        Request request =
                HttpClient.request("POST", address, PATH, announcementSource.get()).build();
        httpClient
                .send(request, CALL_TIMEOUT)
                .whenComplete(
                        (response, error) -> onResponse(address, response, error, sentAtMillis));
    }

    private void onResponse(
            String address, HttpClientResponse response, Throwable error, long sentAtMillis) {
        addressesInFlight.remove(address);
        if (error != null || !response.isSuccess()) {
            metrics.count("announcements.failed");
            return;
        }
        try {
            AnnouncementReply reply = response.read(AnnouncementReply.class);
            long nowMillis = Clocks.monotonicMillis();
            directory.recordListed(reply.entries(), nowMillis);
            directory.recordListed(List.of(address), nowMillis);
            configurationFollower.recordPeerStatus(address, reply.config(), sentAtMillis);
            metrics.count("announcements.sent");
        } catch (SchedulerException e) {
            metrics.count("announcements.unreadable");
            EventLog.event("announcement-reply-unreadable").field("entry", address).warn();
        }
    }
}
