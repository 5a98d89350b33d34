package org.fescueloom.cli;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.job.JobSpec;
import org.fescueloom.json.Json;
import org.fescueloom.report.JobReport;
import org.fescueloom.report.JobsReport;
import org.fescueloom.report.PlacementReport;

/** Implements the commands that submit, show, list and cancel gang jobs. */
final class JobCommands {
    // Long names of options, and of query parameters of the API
    private static final String CUSTOMER = "customer";
    private static final String STATE = "state";
    private static final String WAIT_OPTION = "wait";
    // Texts of the states in which a job has ended
    private static final String SUCCEEDED = "succeeded";
    private static final Set<String> END_STATES = Set.of(SUCCEEDED, "failed", "cancelled");

    /** Time between two queries of the state of a job that a command waits for. */
    private static final long POLL_INTERVAL_MILLIS = 250;

    private JobCommands() {}

    static void addSubmitOptions(Options options) {
        options.addOption(
                Option.builder().longOpt(WAIT_OPTION).desc("wait until the job has ended").build());
    }

    static ExitStatus submit(Invocation invocation) {
        String jobId = invocation.argument(0);
        byte[] spec = invocation.readFile(invocation.argument(1));
        requireValidSpec(invocation.argument(1), spec);
        EntryResponse response = invocation.sendOrFail(EntryRequest.put(spec, "v1", "jobs", jobId));
        if (!invocation.line().hasOption(WAIT_OPTION)) {
            printJob(invocation, response);
            return ExitStatus.OK;
        }
        response = awaitEnd(invocation, jobId);
        printJob(invocation, response);
        return SUCCEEDED.equals(response.readBody(JobReport.class).state())
                ? ExitStatus.OK
                : ExitStatus.FAILED;
    }

    /** Rejects an invalid job specification before anything is sent. */
    private static void requireValidSpec(String file, byte[] spec) {
        try {
            Json.readStrict(spec, JobSpec.class);
        } catch (SchedulerException e) {
            throw new CommandException(ExitStatus.USAGE, file + ": " + e.getMessage());
        }
    }

    private static EntryResponse awaitEnd(Invocation invocation, String jobId) {
        while (true) {
            EntryResponse response = invocation.sendOrFail(EntryRequest.get("v1", "jobs", jobId));
            if (END_STATES.contains(response.readBody(JobReport.class).state())) {
                return response;
            }
            sleepPollInterval();
        }
    }

    private static void sleepPollInterval() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(
                    ExitStatus.INTERNAL, "interrupted while waiting for the end of the job");
        }
    }

    static ExitStatus show(Invocation invocation) {
        printJob(
                invocation,
                invocation.sendOrFail(EntryRequest.get("v1", "jobs", invocation.argument(0))));
        return ExitStatus.OK;
    }

    static ExitStatus cancel(Invocation invocation) {
        printJob(
                invocation,
                invocation.sendOrFail(EntryRequest.delete("v1", "jobs", invocation.argument(0))));
        return ExitStatus.OK;
    }

    private static void printJob(Invocation invocation, EntryResponse response) {
        if (invocation.isJsonOutput()) {
            invocation.printBody(response);
            return;
        }
        JobReport report = response.readBody(JobReport.class);
        invocation.out().printf("job       %s%n", report.job());
        invocation.out().printf("state     %s%n", report.state());
        invocation.out().printf("reason    %s%n", describeReason(report));
        invocation.out().printf("attempts  %d%n", report.attempts());
        invocation.out().printf("customer  %s%n", report.spec().customer());
        invocation
                .out()
                .printf(
                        "shape     %d x %d accelerators, adjacency %s%n",
                        report.spec().tasks(),
                        report.spec().acceleratorsPerTask(),
                        report.spec().adjacency().text());
        for (PlacementReport task : report.placement()) {
            invocation
                    .out()
                    .printf(
                            "task      %s on %s, accelerators %s%n",
                            task.task(), task.worker(), task.accelerators());
        }
    }

    /** Returns the reason and the detail of the state of a job; a hyphen if both are missing. */
    private static String describeReason(JobReport report) {
        if (report.reason() == null) {
            return report.detail() == null ? "-" : report.detail();
        }
        return report.detail() == null ? report.reason() : report.reason() + ": " + report.detail();
    }

    static void addListOptions(Options options) {
        options.addOption(
                Option.builder()
                        .longOpt(CUSTOMER)
                        .hasArg()
                        .argName("NAME")
                        .desc("only jobs of this customer")
                        .build());
        options.addOption(
                Option.builder()
                        .longOpt(STATE)
                        .hasArg()
                        .argName("STATE")
                        .desc("only jobs in this state")
                        .build());
    }

    static ExitStatus list(Invocation invocation) {
        EntryResponse response =
                invocation.sendOrFail(
                        EntryRequest.get("v1", "jobs")
                                .withQueryParameter(CUSTOMER, invocation.optionValue(CUSTOMER))
                                .withQueryParameter(STATE, invocation.optionValue(STATE)));
        if (invocation.isJsonOutput()) {
            invocation.printBody(response);
            return ExitStatus.OK;
        }
        Table table = new Table("JOB", "CUSTOMER", "STATE", "SHAPE", "ATTEMPTS", "REASON");
        for (JobReport job : response.readBody(JobsReport.class).jobs()) {
            table.addRow(
                    job.job(),
                    job.spec().customer(),
                    job.state(),
                    job.spec().tasks() + "x" + job.spec().acceleratorsPerTask(),
                    job.attempts(),
                    describeReason(job));
        }
        invocation.printLines(table.lines());
        return ExitStatus.OK;
    }
}
