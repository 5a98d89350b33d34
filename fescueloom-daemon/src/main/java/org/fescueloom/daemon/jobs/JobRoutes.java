package org.fescueloom.daemon.jobs;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.daemon.Service;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.job.Job;
import org.fescueloom.job.JobAccepted;
import org.fescueloom.job.JobCancelled;
import org.fescueloom.job.JobSpec;
import org.fescueloom.job.JobSpecValidator;
import org.fescueloom.job.RecordEffect;
import org.fescueloom.placement.JobFeasibility;
import org.fescueloom.placement.WorkerView;
import org.fescueloom.report.JobsReport;

/** Serves the HTTP routes on which callers submit, query, list and cancel gang jobs. */
public final class JobRoutes implements Service {
    private static final Pattern JOB_ID_PATTERN =
            Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

    private final ClusterFacade cluster;
    private final JobLedger ledger;
    private final JobStreamWriter log;
    private final JobReports reports;
    private final PlannerClient planners;
    private final Metrics metrics;
    private volatile boolean draining;

    /**
     * Creates the routes.
     *
     * @param cluster gives the workers and the configuration, not null
     * @param ledger holds the jobs, not null
     * @param log appends job records, not null
     * @param reports creates the reports on jobs, not null
     * @param planners forwards queries to the planner, not null
     * @param metrics counts refusals, not null
     */
    public JobRoutes(
            ClusterFacade cluster,
            JobLedger ledger,
            JobStreamWriter log,
            JobReports reports,
            PlannerClient planners,
            Metrics metrics) {
        this.cluster = Objects.requireNonNull(cluster, "cluster");
        this.ledger = Objects.requireNonNull(ledger, "ledger");
        this.log = Objects.requireNonNull(log, "log");
        this.reports = Objects.requireNonNull(reports, "reports");
        this.planners = Objects.requireNonNull(planners, "planners");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void registerRoutes(HttpServer server) {
        server.route("PUT", "/v1/jobs/{job}", call -> countRefusals(() -> submit(call)));
        server.route("GET", "/v1/jobs/{job}", call -> countRefusals(() -> getJob(call)));
        server.route("DELETE", "/v1/jobs/{job}", call -> countRefusals(() -> cancel(call)));
        server.route("GET", "/v1/jobs", call -> countRefusals(() -> listJobs(call)));
    }

    @Override
    public void drain() {
        draining = true;
    }

    private CompletableFuture<HttpServerResponse> submit(HttpCall call) {
        requireNotDraining();
        String id = jobId(call);
        JobSpec spec = call.readStrict(JobSpec.class);
        Optional<Job> known = ledger.job(id);
        if (known.isPresent()) {
            return respondToRepeat(known.get(), spec);
        }
        validate(spec);
        JobAccepted accepted = new JobAccepted(id, spec, System.currentTimeMillis());
        // A repeat of the same submission uses the same record identifier.
        String recordId = "job-" + id + "-" + Integer.toHexString(spec.hashCode()) + "-accepted";
        return log.append(recordId, accepted)
                .thenCompose(effect -> respondToAppend(id, spec, effect));
    }

    private CompletableFuture<HttpServerResponse> respondToAppend(
            String id, JobSpec spec, RecordEffect effect) {
        Job job = ledger.job(id).orElseThrow(() -> jobNotFound(id));
        if (effect == RecordEffect.APPLIED) {
            return completed(
                    HttpServerResponse.json(HttpServerResponse.ACCEPTED, reports.report(job)));
        }
        return respondToRepeat(job, spec);
    }

    private CompletableFuture<HttpServerResponse> respondToRepeat(Job job, JobSpec spec) {
        if (!job.spec().equals(spec)) {
            throw new SchedulerException(
                    FailureType.IDENTIFIER_REUSED,
                    "job " + job.id() + " was submitted before with a different body");
        }
        return completed(HttpServerResponse.json(reports.report(job)));
    }

    private void validate(JobSpec spec) {
        JobSpecValidator.validate(spec);
        ConfigurationDocument document = cluster.configuration();
        if (document.serviceClass(spec.serviceClass()).isEmpty()) {
            throw new SchedulerException(
                    FailureType.UNKNOWN_CLASS,
                    "the configuration has no service class " + spec.serviceClass());
        }
        if (document.customer(spec.customer()).isEmpty()) {
            throw new SchedulerException(
                    FailureType.UNKNOWN_CUSTOMER,
                    "the configuration has no customer " + spec.customer());
        }
        List<WorkerView> workers =
                PlanInputBuilder.workerViews(ledger, cluster.workers(), document);
        // Without a known worker this entry cannot tell which jobs could run, and accepts the job.
        if (!workers.isEmpty()) {
            new JobFeasibility(workers).requireFeasible(spec);
        }
    }

    private CompletableFuture<HttpServerResponse> getJob(HttpCall call) {
        String id = jobId(call);
        Job job = ledger.job(id).orElseThrow(() -> jobNotFound(id));
        // Only the planner knows why a job waits. The query parameter keeps a second entry from
        // forwarding a forwarded query.
        if (planners.isPlannerLocal() || call.query(PlannerClient.LOCAL_PARAMETER).isPresent()) {
            return completed(HttpServerResponse.json(reports.report(job)));
        }
        return planners.askPlanner("/v1/jobs/" + id)
                .thenApply(
                        plannerResponse ->
                                plannerResponse.orElseGet(
                                        () -> HttpServerResponse.json(reports.report(job))));
    }

    private CompletableFuture<HttpServerResponse> cancel(HttpCall call) {
        requireNotDraining();
        String id = jobId(call);
        Job job = ledger.job(id).orElseThrow(() -> jobNotFound(id));
        if (job.state().isFinal()) {
            return completed(
                    HttpServerResponse.json(HttpServerResponse.ACCEPTED, reports.report(job)));
        }
        JobCancelled record = new JobCancelled(id, System.currentTimeMillis());
        return log.append("job-" + id + "-" + job.changedAtOffset() + "-cancelled", record)
                .thenApply(
                        effect -> {
                            Job updated = ledger.job(id).orElse(job);
                            return HttpServerResponse.json(
                                    HttpServerResponse.ACCEPTED, reports.report(updated));
                        });
    }

    private CompletableFuture<HttpServerResponse> listJobs(HttpCall call) {
        Optional<String> customer = call.query("customer");
        Optional<String> state = call.query("state");
        Predicate<Job> matches =
                job ->
                        customer.map(c -> c.equals(job.spec().customer())).orElse(true)
                                && state.map(s -> s.equals(job.state().text())).orElse(true);
        return completed(
                HttpServerResponse.json(
                        new JobsReport(
                                ledger.jobs(matches).stream().map(reports::report).toList())));
    }

    private void requireNotDraining() {
        if (draining) {
            throw new SchedulerException(FailureType.SHUTTING_DOWN, "this entry is shutting down");
        }
    }

    private static String jobId(HttpCall call) {
        String id = call.pathVariable("job");
        if (!JOB_ID_PATTERN.matcher(id).matches()) {
            throw new SchedulerException(
                    FailureType.INVALID_FIELD,
                    "a job identifier has 1 to 128 letters, digits, dots, hyphens or underscores"
                            + " and begins with a letter or a digit");
        }
        return id;
    }

    private static SchedulerException jobNotFound(String id) {
        return new SchedulerException(
                FailureType.NOT_FOUND, "no job is known by the identifier " + id);
    }

    private static CompletableFuture<HttpServerResponse> completed(HttpServerResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    /** Runs a handler and counts its failure by type. */
    private CompletableFuture<HttpServerResponse> countRefusals(RequestHandler handler) {
        CompletableFuture<HttpServerResponse> response;
        try {
            response = handler.handle();
        } catch (RuntimeException e) {
            response = CompletableFuture.failedFuture(e);
        }
        return response.whenComplete(
                (value, error) -> {
                    if (error != null) {
                        metrics.countRefusal(Failures.of(error).type());
                    }
                });
    }

    /** Handles one request; may throw, or return a future that fails. */
    private interface RequestHandler {
        CompletableFuture<HttpServerResponse> handle();
    }
}
