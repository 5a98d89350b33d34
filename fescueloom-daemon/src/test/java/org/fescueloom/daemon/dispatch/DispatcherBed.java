package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.fleet.FleetConfiguration;
import org.fescueloom.fleet.QueuePolicy;
import org.fescueloom.work.JobStatus;
import org.fescueloom.work.Submission;

/** Runs dispatchers one after the other on a log in memory, and hands jobs in. */
final class DispatcherBed {
    /** The number of failed runs after which a job fails. */
    static final int MAX_FAILED_RUNS = 4;

    static final DispatchTimings TIMINGS = new DispatchTimings(7_000, 6_000, 1_800, 60_000, 1_000);

    private static final QueuePolicy QUEUE =
            new QueuePolicy(
                    "queue",
                    "host",
                    "/q/",
                    "service",
                    1,
                    MAX_FAILED_RUNS,
                    3.0,
                    1_000,
                    false,
                    false);

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final ManualScheduler loop = new ManualScheduler();
    private FleetView fleet =
            new FleetView(new FleetConfiguration(1, List.of(QUEUE), List.of()), Set.of(), 0);

    private final Metrics metrics = new Metrics();
    private final int intakePartitions;
    private final DispatchTimings timings;

    /** Creates a bed with one partition of the intake log. */
    DispatcherBed() {
        this(1);
    }

    DispatcherBed(int intakePartitions) {
        this(intakePartitions, TIMINGS);
    }

    DispatcherBed(int intakePartitions, DispatchTimings timings) {
        this.intakePartitions = intakePartitions;
        this.timings = timings;
    }

    /** Configures a second queue, whose work preempts that of the queue "queue". */
    void addUrgentQueue(String name) {
        QueuePolicy urgent =
                new QueuePolicy(
                        name, "host", "/u/", "service", 0, MAX_FAILED_RUNS, 1.5, 0, false, false);
        fleet =
                new FleetView(
                        new FleetConfiguration(1, List.of(QUEUE, urgent), List.of()), Set.of(), 0);
    }

    MemoryKeyedLog log() {
        return log;
    }

    /** Returns the metrics of all dispatchers of this bed. */
    Metrics metrics() {
        return metrics;
    }

    ManualScheduler loop() {
        return loop;
    }

    /** Starts a dispatcher, which replaces the previous one if there is one. */
    Dispatcher claim() {
        ClaimAttempt attempt =
                new ClaimAttempt(log, new DispatchClaim("here", "p"), loop.logServiceContact());
        int end = log.records(JobStore.LOG).size();
        Dispatcher.InitialState initialState =
                ((ClaimAttempt.Result.Won) attempt.run(end, epoch -> {}).join()).initialState();
        Dispatcher dispatcher =
                new Dispatcher(
                        initialState,
                        timings,
                        new LogAccess(log, intakePartitions),
                        loop,
                        loop.logServiceContact(),
                        () -> fleet,
                        () -> List.of("here"),
                        metrics,
                        () -> {});
        dispatcher.start();
        return dispatcher;
    }

    /** Hands in a job, and waits until the dispatcher knows it. */
    void submit(Dispatcher dispatcher, Submission submission) {
        store(IntakeRequest.of(submission));
        loop.advance(50);
        assertThat(jobStatus(dispatcher, submission.id())).isNotEqualTo(JobStatus.UNKNOWN);
    }

    /** Cancels a job. */
    void cancel(String jobId) {
        store(IntakeRequest.cancellation(jobId));
        loop.advance(50);
    }

    private void store(IntakeRequest request) {
        store(0, request);
    }

    /** Appends a request to a partition of the intake log, as an entry does. */
    void store(int partition, IntakeRequest request) {
        log.append(
                IntakeRequest.partition(partition),
                List.of(request.toRecord()),
                KeyedLog.ANY_END,
                Duration.ofSeconds(1));
    }

    /** Returns the keys of a log that are not removed. */
    List<String> newestKeys(LogPartition partition) {
        return log.newest(partition, "").join().records().stream().map(KeyedRecord::key).toList();
    }

    /** Returns the stored state of a job. */
    JobStatus jobStatus(Dispatcher dispatcher, String jobId) {
        CompletableFuture<JobStatus> status = dispatcher.status(jobId);
        loop.advance(0);
        assertThat(status).isCompleted();
        return status.join();
    }
}
