package org.fescueloom.daemon.cluster;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fescueloom.config.ConfigurationTracker;
import org.fescueloom.config.ConfigurationView;
import org.fescueloom.config.ZoneGate;
import org.fescueloom.daemon.Service;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.daemon.settings.Role;
import org.fescueloom.daemon.settings.Settings;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.log.StreamFold;
import org.fescueloom.member.EntryDirectory;
import org.fescueloom.member.MemberTable;
import org.fescueloom.wire.AgentStatus;
import org.fescueloom.wire.Announcement;
import org.fescueloom.wire.MemberKind;

/**
 * Connects a process to the rest of the system: the log service, the configuration and the members.
 *
 * <p>Every daemon has one instance. The instance announces the process, receives announcements and
 * reports readiness. On an entry, the instance also serves the requests of operators and writes
 * snapshots of the configuration.
 */
public final class Cluster implements Service {
    /**
     * The time after the start of an entry by which all processes know the entry, in milliseconds.
     */
    public static final long STARTUP_WAIT_MILLIS = 5_000L;

    /** The time between two removals of members that have been silent for too long. */
    private static final long MEMBER_EXPIRY_INTERVAL_MILLIS = 1_000L;

    private final ScheduledExecutorService executor = Timers.singleThread("cluster");
    private final long incarnation = System.currentTimeMillis();
    private final MemberTable members = new MemberTable();
    private final Settings settings;
    private final Metrics metrics;
    private final EntryDirectory directory;
    private final LogClient logClient;
    private final ConfigurationTracker configurationTracker;
    private final ConfigurationFollower configurationFollower;
    private final ZoneGate zoneGate;
    private final AnnouncementClient announcementClient;
    private volatile Supplier<AgentStatus> agentStatus = () -> null;
    private volatile OperatorHooks hooks = OperatorHooks.NONE;

    /** Whether the announcements of this process say that it takes no new work. */
    private volatile boolean leaving;

    /** Whether the process is shutting down; never becomes false again. */
    private volatile boolean draining;

    private volatile String address = "";

    /** The monotonic time at which the process started; 0 before the start. */
    private volatile long startedAtMillis;

    /**
     * Creates the instance of a process; {@link #start} begins the background work.
     *
     * @param settings the settings, not null
     * @param metrics holds the counters and gauges of the process, not null
     */
    public Cluster(Settings settings, Metrics metrics) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        directory = new EntryDirectory(settings.entries());
        logClient = new LogClient(settings.logService(), executor, metrics);
        configurationTracker = new ConfigurationTracker(isEntry());
        configurationFollower =
                new ConfigurationFollower(
                        logClient,
                        executor,
                        metrics,
                        configurationTracker,
                        directory::liveAddresses);
        zoneGate = new ZoneGate(configurationFollower::view);
        announcementClient =
                new AnnouncementClient(
                        directory,
                        this::createAnnouncement,
                        configurationFollower,
                        executor,
                        metrics);
    }

    /**
     * Sets the source of the upstream status in the announcements of an agent.
     *
     * @param source supplies the status, or null if there is no upstream; not null itself
     */
    public void setAgentStatus(Supplier<AgentStatus> source) {
        agentStatus = Objects.requireNonNull(source, "source");
    }

    /**
     * Sets the hooks into the requests of operators; must be called before {@link #registerRoutes}.
     *
     * @param operatorHooks the hooks, not null
     */
    public void setOperatorHooks(OperatorHooks operatorHooks) {
        hooks = Objects.requireNonNull(operatorHooks, "operatorHooks");
    }

    /**
     * Sets whether this process takes no new work. After the start, announces a change to the
     * entries at once.
     *
     * <p>A draining process takes no new work, whatever the argument.
     *
     * @param noNewWork true if this process takes no new work
     */
    public void setLeaving(boolean noNewWork) {
        boolean newLeaving = noNewWork || draining;
        boolean changed = leaving != newLeaving;
        leaving = newLeaving;
        if (changed && startedAtMillis != 0) {
            announcementClient.announceNow();
        }
    }

    @Override
    public void registerRoutes(HttpServer server) {
        new ClusterRoutes(this).install(server);
        if (isEntry()) {
            ConfigurationPublisher publisher =
                    new ConfigurationPublisher(
                            logClient,
                            configurationFollower,
                            executor,
                            memberId(),
                            this::remainingStartupWaitMillis);
            ZoneChanger zoneChanger = new ZoneChanger(this, publisher, executor, hooks);
            new OperatorRoutes(this, publisher, zoneChanger, hooks).install(server);
        }
    }

    @Override
    public void start(String listenAddress) {
        address = Objects.requireNonNull(listenAddress, "listenAddress");
        directory.excludeSelf(address);
        startedAtMillis = Clocks.monotonicMillis();
        registerGauges();
        configurationFollower.start();
        announcementClient.start();
        executor.scheduleWithFixedDelay(
                () -> members.expire(Clocks.monotonicMillis()),
                MEMBER_EXPIRY_INTERVAL_MILLIS,
                MEMBER_EXPIRY_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        if (isEntry()) {
            new ConfigurationSnapshotWriter(
                            logClient,
                            configurationFollower,
                            executor,
                            metrics,
                            address,
                            directory::liveAddresses)
                    .start();
        }
    }

    /** Makes the readiness check fail and announces to the entries that this process is leaving. */
    @Override
    public void drain() {
        draining = true;
        setLeaving(true);
    }

    @Override
    public void close() {
        announcementClient.close();
        configurationFollower.close();
        executor.shutdownNow();
        logClient.close();
    }

    /**
     * Creates a follower of another stream, which folds on the thread of this instance.
     *
     * @param <F> the type of the fold
     * @param stream the stream, not null
     * @param foldFactory creates an empty fold, not null
     * @param windowRecords the number of records before the end at which the replay starts; {@link
     *     StreamFollower#ALL_RECORDS} for a fold without snapshots
     * @param listener is notified of the progress, not null
     * @return the follower, not started, never null
     */
    public <F extends StreamFold> StreamFollower<F> follow(
            String stream,
            Supplier<F> foldFactory,
            long windowRecords,
            StreamListener<F> listener) {
        return new StreamFollower<>(
                logClient, stream, foldFactory, windowRecords, executor, metrics, listener);
    }

    /**
     * Returns the client of the log service.
     *
     * @return the client, never null
     */
    public LogClient logClient() {
        return logClient;
    }

    /**
     * Returns the current view of the configuration.
     *
     * @return the view, never null
     */
    public ConfigurationView configurationView() {
        return configurationFollower.view();
    }

    /**
     * Returns the gate that decides whether work may start in a zone.
     *
     * @return the gate, never null
     */
    public ZoneGate zoneGate() {
        return zoneGate;
    }

    /**
     * Returns the members that have announced themselves to this process.
     *
     * @return the table, never null
     */
    public MemberTable members() {
        return members;
    }

    /**
     * Returns the entries that this process knows.
     *
     * @return the directory, never null
     */
    public EntryDirectory directory() {
        return directory;
    }

    /**
     * Returns the follower of the configuration.
     *
     * @return the follower, never null
     */
    public ConfigurationFollower configurationFollower() {
        return configurationFollower;
    }

    /**
     * Returns the member ID of this process.
     *
     * @return the ID, never null
     */
    public String memberId() {
        return settings.member();
    }

    /**
     * Returns the availability zone of this process.
     *
     * @return the name of the zone, never null
     */
    public String zone() {
        return settings.zone();
    }

    /**
     * Returns the address at which other processes reach this process.
     *
     * @return the address as "host:port", empty before the start, never null
     */
    public String address() {
        return address;
    }

    /**
     * Returns the incarnation number of this process, which is higher after each start.
     *
     * @return the wall-clock time of the start, in milliseconds since the epoch
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns whether the last read of the log succeeded.
     *
     * @return false after a failed read
     */
    public boolean isLogReachable() {
        return configurationTracker.logReachable();
    }

    /**
     * Returns whether the load balancer may send requests to this process.
     *
     * @return true from the time at which the process has a configuration, or has read the whole
     *     stream without finding one, until it drains
     */
    public boolean isReady() {
        boolean hasConfiguration =
                configurationFollower.version() >= 0
                        || configurationFollower.streamFollower().whenCaughtUp().isDone();
        return hasConfiguration && !draining;
    }

    Metrics metrics() {
        return metrics;
    }

    /**
     * Checks that the process is not draining.
     *
     * @throws SchedulerException with type {@code SHUTTING_DOWN} if the process is draining
     */
    void requireNotDraining() {
        if (draining) {
            throw new SchedulerException(FailureType.SHUTTING_DOWN, "the entry is shutting down");
        }
    }

    private boolean isEntry() {
        return settings.role() == Role.ENTRY;
    }

    private Announcement createAnnouncement() {
        return new Announcement(
                isEntry() ? MemberKind.ENTRY : MemberKind.AGENT,
                memberId(),
                incarnation,
                address,
                zone(),
                leaving,
                configurationFollower.version(),
                agentStatus.get(),
                null);
    }

    /**
     * Returns how long a change of the configuration still has to wait because some process may not
     * know this entry yet.
     *
     * <p>While all entries that a process knows report an outage of the log, the process starts
     * work on an old configuration. A change by an entry that the process does not know must not
     * take effect meanwhile. No wait is needed if all known entries reach the log service.
     */
    private long remainingStartupWaitMillis() {
        if (configurationTracker.logReachableFromAll(directory.announcementTargets())) {
            return 0L;
        }
        return Math.max(0L, startedAtMillis + STARTUP_WAIT_MILLIS - Clocks.monotonicMillis());
    }

    private void registerGauges() {
        metrics.registry().gauge("config.version", () -> () -> configurationFollower.version());
        metrics.registry()
                .gauge(
                        "config.age-millis",
                        () -> () -> configurationView().ageMillis(Clocks.monotonicMillis()));
        for (MemberKind kind : List.of(MemberKind.values())) {
            metrics.registry()
                    .gauge(
                            "members." + kind.text(),
                            () -> () -> members.members(kind, Clocks.monotonicMillis()).size());
        }
    }
}
