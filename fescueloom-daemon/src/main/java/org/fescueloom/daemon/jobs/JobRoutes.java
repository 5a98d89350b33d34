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
import org.fescueloom.daemon.http.HttpReply;
import org.fescueloom.daemon.http.HttpServer;
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

/** Takes jobs from callers, tells of them, and cancels them. */
public final class JobRoutes implements Service {
    private static final Pattern JOB_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

    private final JobCluster cluster;
    private final JobLedger ledger;
    private final JobLog log;
    private final JobReports reports;
    private final PlannerDirectory planners;
    private final Metrics metrics;
    private volatile boolean draining;

    /**
     * Creates the routes.
     *
     * @param cluster gives the members and the configuration, not null
     * @param ledger keeps the jobs, not null
     * @param log writes job records, not null
     * @param reports describes jobs, not null
     * @param planners asks the entry that plans, not null
     * @param metrics counts refusals, not null
     */
    public JobRoutes(
            JobCluster cluster,
            JobLedger ledger,
            JobLog log,
            JobReports reports,
            PlannerDirectory planners,
            Metrics metrics) {
        this.cluster = Objects.requireNonNull(cluster, "cluster");
        this.ledger = Objects.requireNonNull(ledger, "ledger");
        this.log = Objects.requireNonNull(log, "log");
        this.reports = Objects.requireNonNull(reports, "reports");
        this.planners = Objects.requireNonNull(planners, "planners");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void routes(HttpServer server) {
        server.route("PUT", "/v1/jobs/{job}", call -> counted(() -> submit(call)));
        server.route("GET", "/v1/jobs/{job}", call -> counted(() -> show(call)));
        server.route("DELETE", "/v1/jobs/{job}", call -> counted(() -> cancel(call)));
        server.route("GET", "/v1/jobs", call -> counted(() -> list(call)));
    }

    @Override
    public void drain() {
        draining = true;
    }

    private CompletableFuture<HttpReply> submit(HttpCall call) {
        requireRunning();
        String id = jobName(call);
        JobSpec spec = call.readStrict(JobSpec.class);
        Optional<Job> known = ledger.job(id);
        if (known.isPresent()) {
            return repeated(known.get(), spec);
        }
        validate(spec);
        JobAccepted accepted = new JobAccepted(id, spec, System.currentTimeMillis());
        String recordId = "job-" + id + "-" + Integer.toHexString(spec.hashCode()) + "-accepted";
        return log.append(recordId, accepted).thenCompose(effect -> accepted(id, spec, effect));
    }

    private CompletableFuture<HttpReply> accepted(String id, JobSpec spec, RecordEffect effect) {
        Job job = ledger.job(id).orElseThrow(() -> notFound(id));
        if (effect == RecordEffect.APPLIED) {
            return done(HttpReply.json(HttpReply.ACCEPTED, reports.report(job)));
        }
        return repeated(job, spec);
    }

    private CompletableFuture<HttpReply> repeated(Job job, JobSpec spec) {
        if (!job.spec().equals(spec)) {
            throw new SchedulerException(
                    FailureType.IDENTIFIER_REUSED,
                    "job " + job.id() + " was submitted before with another body");
        }
        return done(HttpReply.json(reports.report(job)));
    }

    private void validate(JobSpec spec) {
        JobSpecValidator.validate(spec);
        ConfigurationDocument document = cluster.document();
        if (document.serviceClass(spec.serviceClass()).isEmpty()) {
            throw new SchedulerException(
                    FailureType.UNKNOWN_CLASS, "no class " + spec.serviceClass());
        }
        if (document.customer(spec.customer()).isEmpty()) {
            throw new SchedulerException(
                    FailureType.UNKNOWN_CUSTOMER, "no customer " + spec.customer());
        }
        List<WorkerView> workers = PlanInputBuilder.views(ledger, cluster.workers(), document);
        if (!workers.isEmpty()) {
            new JobFeasibility(workers).requireFeasible(spec);
        }
    }

    private CompletableFuture<HttpReply> show(HttpCall call) {
        String id = jobName(call);
        Job job = ledger.job(id).orElseThrow(() -> notFound(id));
        if (planners.isLocal() || call.query(PlannerDirectory.LOCAL).isPresent()) {
            return done(HttpReply.json(reports.report(job)));
        }
        return planners.askPlanner("/v1/jobs/" + id)
                .thenApply(answer -> answer.orElseGet(() -> HttpReply.json(reports.report(job))));
    }

    private CompletableFuture<HttpReply> cancel(HttpCall call) {
        requireRunning();
        String id = jobName(call);
        Job job = ledger.job(id).orElseThrow(() -> notFound(id));
        if (job.state().isFinal()) {
            return done(HttpReply.json(HttpReply.ACCEPTED, reports.report(job)));
        }
        JobCancelled record = new JobCancelled(id, System.currentTimeMillis());
        return log.append("job-" + id + "-" + job.changedAtOffset() + "-cancelled", record)
                .thenApply(
                        effect -> {
                            Job after = ledger.job(id).orElse(job);
                            return HttpReply.json(HttpReply.ACCEPTED, reports.report(after));
                        });
    }

    private CompletableFuture<HttpReply> list(HttpCall call) {
        Optional<String> customer = call.query("customer");
        Optional<String> state = call.query("state");
        Predicate<Job> matches =
                job ->
                        customer.map(c -> c.equals(job.spec().customer())).orElse(true)
                                && state.map(s -> s.equals(job.state().text())).orElse(true);
        return done(
                HttpReply.json(
                        new JobsReport(
                                ledger.jobs(matches).stream().map(reports::report).toList())));
    }

    private void requireRunning() {
        if (draining) {
            throw new SchedulerException(FailureType.SHUTTING_DOWN, "this entry is shutting down");
        }
    }

    private static String jobName(HttpCall call) {
        String id = call.path("job");
        if (!JOB_NAME.matcher(id).matches()) {
            throw new SchedulerException(
                    FailureType.INVALID_FIELD,
                    "a job's name has 1 to 128 letters, digits, dots, hyphens or underscores");
        }
        return id;
    }

    private static SchedulerException notFound(String id) {
        return new SchedulerException(FailureType.NOT_FOUND, "no job " + id);
    }

    private static CompletableFuture<HttpReply> done(HttpReply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private CompletableFuture<HttpReply> counted(Step step) {
        CompletableFuture<HttpReply> reply;
        try {
            reply = step.run();
        } catch (RuntimeException e) {
            reply = CompletableFuture.failedFuture(e);
        }
        return reply.whenComplete(
                (value, error) -> {
                    if (error != null) {
                        metrics.countRefusal(Failures.of(error).type());
                    }
                });
    }

    private interface Step {
        CompletableFuture<HttpReply> run();
    }
}
