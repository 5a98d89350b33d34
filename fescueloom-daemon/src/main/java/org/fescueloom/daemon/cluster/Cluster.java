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
 * Gives a process its part in the system: the log, the configuration, the members.
 *
 * <p>Every daemon has one; an entry's also answers announcements and operators.
 */
public final class Cluster implements Service {
    /** The time within which every process counts a new entry, in milliseconds. */
    public static final long STARTUP_WAIT_MILLIS = 5_000L;

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
    private volatile boolean leaving;
    private volatile boolean draining;
    private volatile String address = "";
    private volatile long startedAtMillis;

    /**
     * Creates the part of one process; nothing runs yet.
     *
     * @param settings the settings, not null
     * @param metrics counts what happens, not null
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
     * Sets where an agent's announcements get the state of its upstream from.
     *
     * @param source gives the state, or null without an upstream; not null
     */
    public void setAgentStatus(Supplier<AgentStatus> source) {
        agentStatus = Objects.requireNonNull(source, "source");
    }

    /**
     * Sets what takes part in the operators' calls; to be called before the routes are added.
     *
     * @param operatorHooks the hooks, not null
     */
    public void setOperatorHooks(OperatorHooks operatorHooks) {
        hooks = Objects.requireNonNull(operatorHooks, "operatorHooks");
    }

    /**
     * Says whether this process takes no new work, and tells the entries at once.
     *
     * <p>A process that drains stays leaving.
     *
     * @param value whether it takes none
     */
    public void setLeaving(boolean requested) {
        boolean newValue = requested || draining;
        boolean changed = leaving != newValue;
        leaving = newValue;
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

    /** Fails the readiness and tells the entries that this process is leaving. */
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
     * Follows another stream of the log on the thread of the cluster.
     *
     * @param <F> the type of the fold
     * @param stream the stream, not null
     * @param factory creates an empty fold, not null
     * @param window how many records before the end the replay starts; {@link
     *     StreamFollower#ALL_RECORDS} for a fold without snapshots
     * @param listener learns about the progress, not null
     * @return the follower, not started
     */
    public <F extends StreamFold> StreamFollower<F> follow(
            String stream, Supplier<F> factory, long window, StreamListener<F> listener) {
        return new StreamFollower<>(
                logClient, stream, factory, window, executor, metrics, listener);
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
     * Returns the view of the configuration now.
     *
     * @return the view, never null
     */
    public ConfigurationView configurationView() {
        return configurationFollower.view();
    }

    /**
     * Returns the gate that every start of work passes.
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
     * Returns the identifier of this process.
     *
     * @return the identifier, never null
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
     * Returns the address that others reach this process at.
     *
     * @return the "address:port", empty before the start
     */
    public String address() {
        return address;
    }

    /**
     * Returns the incarnation of this process, which grows with each start.
     *
     * @return the incarnation
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Tells whether the last read of the log succeeded.
     *
     * @return false after a failed read
     */
    public boolean isLogReachable() {
        return configurationTracker.logReachable();
    }

    /**
     * Tells whether the balancer may send calls to this process.
     *
     * @return true once the configuration was read from the log or a peer, until the drain
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
     * Passes unless the process is draining.
     *
     * @throws SchedulerException with type {@code SHUTTING_DOWN} while it is
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

    /** Returns how long a change must wait because some process may not count this entry yet. */
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
