package org.fescueloom.daemon.jobs;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.daemon.Daemon;
import org.fescueloom.daemon.Service;
import org.fescueloom.daemon.cluster.Clocks;
import org.fescueloom.daemon.cluster.Cluster;
import org.fescueloom.daemon.cluster.StreamFollower;
import org.fescueloom.daemon.cluster.StreamListener;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.gang.LeaseTimings;
import org.fescueloom.job.EpochClaim;
import org.fescueloom.job.EpochFold;
import org.fescueloom.job.GangMember;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.job.Job;
import org.fescueloom.job.JobRecordCodec;
import org.fescueloom.member.Member;
import org.fescueloom.placement.PlacementPolicy;
import org.fescueloom.placement.RunTimeEstimates;
import org.fescueloom.placement.WorkerCondition;
import org.fescueloom.placement.WorkerView;
import org.fescueloom.report.ExplanationReport;

/**
 * Creates and connects the gang job services of one process: lease keepers on entries and agents,
 * routes and planner on entries only.
 */
public final class JobSystem implements Service {
    private static final PlacementPolicy PLACEMENT_POLICY = PlacementPolicy.BUDDY_COMPACTION;

    private final JobLedger ledger = new JobLedger();
    private final EpochFold epochs = new EpochFold();
    private final PlanBoard board = new PlanBoard();
    private final JobReports reports = new JobReports(board);
    private final WorkerClient workerClient = new WorkerClient();
    private final JobStreamAge jobStreamAge = new JobStreamAge();
    private final Cluster cluster;
    private final ClusterFacade clusterFacade;
    private final Metrics metrics;
    private final JobStreamWriter jobStreamWriter;
    private final GangRunner runner;
    private final StreamFollower<JobLedger> jobFollower;

    /**
     * Creates the gang job services of one process.
     *
     * @param cluster the cluster, not null
     * @param metrics receives the measurements of all services, not null
     */
    public JobSystem(Cluster cluster, Metrics metrics) {
        this.cluster = Objects.requireNonNull(cluster, "cluster");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        clusterFacade = new ClusterFacade(cluster);
        jobStreamWriter = new JobStreamWriter(cluster.logClient(), ledger);
        GangStopper stopper = new GangStopper(workerClient);
        GangStarter starter =
                new GangStarter(
                        workerClient,
                        stopper,
                        gang -> jobStreamWriter.append(gang.attempt() + "-placed", gang),
                        this::checkZones);
        runner =
                new GangRunner(
                        starter,
                        stopper,
                        jobStreamWriter,
                        ledger,
                        metrics,
                        System::currentTimeMillis);
        jobFollower =
                cluster.follow(
                        JobRecordCodec.STREAM,
                        () -> ledger,
                        StreamFollower.ALL_RECORDS,
                        jobStreamAge);
    }

    /**
     * Adds the services that an entry runs to a daemon.
     *
     * @param daemon the daemon, not null
     */
    public void addEntryServices(Daemon daemon) {
        PlannerElection election =
                new PlannerElection(
                        cluster.memberId(),
                        cluster.incarnation(),
                        epochs,
                        clusterFacade::liveEntryIds);
        PlannerService planner =
                new PlannerService(
                        clusterFacade,
                        election,
                        ledger,
                        jobStreamWriter,
                        cluster.logClient(),
                        runner,
                        new RoundPlanner(
                                clusterFacade,
                                ledger,
                                new PlanInputBuilder(new RunTimeEstimates()),
                                PLACEMENT_POLICY.planner(),
                                board,
                                metrics),
                        metrics);
        PlannerClient planners = new PlannerClient(planner::isPlanner, this::plannerAddress);
        StreamFollower<EpochFold> epochFollower =
                cluster.follow(
                        EpochClaim.STREAM,
                        () -> epochs,
                        StreamFollower.ALL_RECORDS,
                        new StreamListener<EpochFold>() {});
        daemon.addService(new FollowerService(epochFollower));
        daemon.addService(
                new JobRoutes(clusterFacade, ledger, jobStreamWriter, reports, planners, metrics));
        KeeperListRoutes keeperList =
                new KeeperListRoutes(() -> cluster.members().agents(Clocks.monotonicMillis()));
        daemon.addService(keeperList);
        addKeeperServices(
                daemon, KeeperAssignment.ofEntry(cluster.memberId(), keeperList::candidates));
        daemon.addService(
                new JobSnapshotService(ledger, jobStreamWriter, planner::isPlanner, metrics));
        daemon.addService(planner);
    }

    /**
     * Adds the services that an agent runs to a daemon.
     *
     * @param daemon the daemon, not null
     */
    public void addAgentServices(Daemon daemon) {
        KeeperListPoller keeperList =
                new KeeperListPoller(cluster.directory()::liveAddresses, metrics);
        daemon.addService(keeperList);
        addKeeperServices(
                daemon, KeeperAssignment.ofAgent(cluster.memberId(), keeperList::candidates));
    }

    /**
     * Finds a job and explains its course.
     *
     * @param id the identifier of the job, not null
     * @return the explanation, or empty if no job with this identifier is known
     */
    public Optional<ExplanationReport> explain(String id) {
        return ledger.job(id).map(reports::explain);
    }

    /**
     * Returns the entry with the valid claim to the planner role.
     *
     * @return the identifier of the entry, which may have failed since its claim; empty before the
     *     first claim
     */
    public Optional<String> plannerId() {
        return epochs.claim().map(EpochClaim::entry);
    }

    /**
     * Counts the jobs in each state.
     *
     * @return the counts by the text of the job state, never null
     */
    public Map<String, Integer> jobCounts() {
        Map<String, Integer> counts = new LinkedHashMap<>();
        for (Job job : ledger.jobs(any -> true)) {
            counts.merge(job.state().text(), 1, Integer::sum);
        }
        return counts;
    }

    /**
     * Describes every known worker under a given configuration.
     *
     * @param document the configuration document, not null
     * @return the descriptions that the planner uses, never null
     */
    public List<WorkerView> workerViews(ConfigurationDocument document) {
        return PlanInputBuilder.workerViews(ledger, clusterFacade.workers(), document);
    }

    /**
     * Returns the condition of a worker, which tells whether the worker can take tasks.
     *
     * @param worker the worker, not null
     * @return the condition, never null
     */
    public WorkerCondition workerCondition(Member worker) {
        long now = System.currentTimeMillis();
        return ledger.read(
                fold ->
                        PlanInputBuilder.workerView(
                                        worker, clusterFacade.configuration(), fold.failures(), now)
                                .condition());
    }

    /**
     * Returns the ledger with the jobs that this process has read from the {@code jobs} stream.
     *
     * @return the ledger, never null
     */
    public JobLedger ledger() {
        return ledger;
    }

    /**
     * Returns the results of the last plan that this process made.
     *
     * @return the board, empty if this process has made no plan, never null
     */
    public PlanBoard board() {
        return board;
    }

    private void addKeeperServices(Daemon daemon, Predicate<GangPlaced> selection) {
        daemon.addService(new FollowerService(jobFollower));
        daemon.addService(
                new KeeperService(
                        ledger, workerClient, runner, selection, this::isViewValid, metrics));
    }

    private Optional<String> plannerAddress() {
        return plannerId().flatMap(clusterFacade::findAddress);
    }

    /**
     * Tells whether a keeper may act on this process's fold of the {@code jobs} stream: either the
     * fold is recent, or every known entry reports that it cannot reach the log service.
     */
    private boolean isViewValid() {
        long now = Clocks.monotonicMillis();
        boolean jobFoldRecent = jobStreamAge.ageMillis(now) < LeaseTimings.DEFAULT.viewAgeMillis();
        return jobFoldRecent
                || cluster.configurationView().outageAgeMillis(now)
                        < LeaseTimings.DEFAULT.viewAgeMillis();
    }

    private CompletableFuture<Void> checkZones(GangPlaced gang) {
        List<String> workerIds =
                gang.members().stream().map(GangMember::worker).distinct().toList();
        try {
            workerIds.forEach(clusterFacade::requireStartAllowed);
            return CompletableFuture.completedFuture(null);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    @Override
    public void close() {
        workerClient.close();
    }

    /**
     * Measures the age of this process's fold of the {@code jobs} stream: the time since the last
     * read that left the fold with every record of the stream.
     */
    private static final class JobStreamAge implements StreamListener<JobLedger> {
        /**
         * The monotonic time at which the last such read was sent; {@code Long.MIN_VALUE} before
         * the first.
         */
        private volatile long lastCompleteReadMillis = Long.MIN_VALUE;

        @Override
        public void onRead(JobLedger fold, boolean caughtUp, long sentAtMillis) {
            if (caughtUp) {
                lastCompleteReadMillis = sentAtMillis;
            }
        }

        long ageMillis(long nowMillis) {
            return lastCompleteReadMillis == Long.MIN_VALUE
                    ? Long.MAX_VALUE
                    : nowMillis - lastCompleteReadMillis;
        }
    }

    /** Starts and closes a follower together with the daemon. */
    private record FollowerService(StreamFollower<?> follower) implements Service {
        @Override
        public void start(String address) {
            follower.start();
        }

        @Override
        public void close() {
            follower.close();
        }
    }
}
