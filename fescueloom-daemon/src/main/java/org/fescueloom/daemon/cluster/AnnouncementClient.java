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
import org.fescueloom.daemon.http.HttpAnswer;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.member.EntryDirectory;
import org.fescueloom.wire.Announcement;
import org.fescueloom.wire.AnnouncementReply;

/** Announces this process to every entry that it knows, and learns entries from the replies. */
public final class AnnouncementClient implements AutoCloseable {
    /** The mean time between two announcements to one entry, in milliseconds. */
    public static final long INTERVAL_MILLIS = 1_000L;

    /** The path that takes announcements. */
    public static final String PATH = "/internal/announcements";

    private static final double JITTER = 0.1;
    private static final int MAX_CALLS = 64;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final HttpClient http = new HttpClient(MAX_CALLS, CONNECT_TIMEOUT);
    private final Set<String> inFlight = ConcurrentHashMap.newKeySet();
    private final EntryDirectory directory;
    private final Supplier<Announcement> announcement;
    private final ConfigurationFollower configuration;
    private final ScheduledExecutorService executor;
    private final Metrics metrics;
    private volatile boolean closed;

    /**
     * Creates a client that announces nothing yet.
     *
     * @param directory the entries, not null
     * @param announcement gives the announcement of now, not null
     * @param configuration takes the proofs of the entries, not null
     * @param executor runs the heartbeat, not null
     * @param metrics counts failures, not null
     */
    public AnnouncementClient(
            EntryDirectory directory,
            Supplier<Announcement> announcement,
            ConfigurationFollower configuration,
            ScheduledExecutorService executor,
            Metrics metrics) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.announcement = Objects.requireNonNull(announcement, "announcement");
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.executor = Objects.requireNonNull(executor, "executor");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Starts the heartbeat. */
    public void start() {
        executor.execute(this::beat);
    }

    /** Announces the present state to all known entries at once. */
    public void announceNow() {
        for (String address : directory.announcementTargets()) {
            send(address);
        }
    }

    /** Stops the heartbeat. */
    @Override
    public void close() {
        closed = true;
        http.close();
    }

    private void beat() {
        if (closed) {
            return;
        }
        for (String address : directory.announcementTargets()) {
            if (!inFlight.contains(address)) {
                send(address);
            }
        }
        double factor = 1 + JITTER * (2 * ThreadLocalRandom.current().nextDouble() - 1);
        executor.schedule(this::beat, (long) (INTERVAL_MILLIS * factor), TimeUnit.MILLISECONDS);
    }

    private void send(String address) {
        inFlight.add(address);
        long sentAt = Clocks.monotonicMillis();
        Request request = HttpClient.request("POST", address, PATH, announcement.get()).build();
        http.send(request, TIMEOUT)
                .whenComplete((answer, error) -> answered(address, answer, error, sentAt));
    }

    private void answered(String address, HttpAnswer answer, Throwable error, long sentAt) {
        inFlight.remove(address);
        if (error != null || !answer.isSuccess()) {
            metrics.count("announcements.failed");
            return;
        }
        try {
            AnnouncementReply reply = answer.read(AnnouncementReply.class);
            long now = Clocks.monotonicMillis();
            directory.recordListed(reply.entries(), now);
            directory.recordListed(List.of(address), now);
            configuration.heard(address, reply.config(), sentAt);
            metrics.count("announcements.sent");
        } catch (SchedulerException e) {
            metrics.count("announcements.unreadable");
            EventLog.event("announcement-reply-unreadable").field("entry", address).warn();
        }
    }
}
