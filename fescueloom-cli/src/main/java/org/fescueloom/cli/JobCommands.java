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

/** Submits, shows, lists and cancels gang jobs. */
final class JobCommands {
    private static final String CUSTOMER = "customer";
    private static final String STATE = "state";
    private static final String WAIT = "wait";
    private static final String SUCCEEDED = "succeeded";
    private static final Set<String> END_STATES = Set.of(SUCCEEDED, "failed", "cancelled");
    private static final long POLL_INTERVAL_MILLIS = 250;

    private JobCommands() {}

    static void addSubmitOptions(Options options) {
        options.addOption(
                Option.builder().longOpt(WAIT).desc("wait until the job has ended").build());
    }

    static ExitStatus submit(Invocation call) {
        String job = call.argument(0);
        byte[] spec = call.readFile(call.argument(1));
        checkSpec(call.argument(1), spec);
        EntryResponse answer = call.sendOrFail(EntryRequest.put(spec, "v1", "jobs", job));
        if (!call.line().hasOption(WAIT)) {
            printJob(call, answer);
            return ExitStatus.OK;
        }
        answer = awaitEnd(call, job);
        printJob(call, answer);
        return SUCCEEDED.equals(answer.readBody(JobReport.class).state())
                ? ExitStatus.OK
                : ExitStatus.FAILED;
    }

    private static void checkSpec(String file, byte[] spec) {
        try {
            Json.readStrict(spec, JobSpec.class);
        } catch (SchedulerException e) {
            throw new CommandException(ExitStatus.USAGE, file + ": " + e.getMessage());
        }
    }

    private static EntryResponse awaitEnd(Invocation call, String job) {
        while (true) {
            EntryResponse answer = call.sendOrFail(EntryRequest.get("v1", "jobs", job));
            if (END_STATES.contains(answer.readBody(JobReport.class).state())) {
                return answer;
            }
            sleepPollInterval();
        }
    }

    private static void sleepPollInterval() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitStatus.INTERNAL, "interrupted while waiting");
        }
    }

    static ExitStatus show(Invocation call) {
        printJob(call, call.sendOrFail(EntryRequest.get("v1", "jobs", call.argument(0))));
        return ExitStatus.OK;
    }

    static ExitStatus cancel(Invocation call) {
        printJob(call, call.sendOrFail(EntryRequest.delete("v1", "jobs", call.argument(0))));
        return ExitStatus.OK;
    }

    private static void printJob(Invocation call, EntryResponse answer) {
        if (call.isJsonOutput()) {
            call.printBody(answer);
            return;
        }
        JobReport report = answer.readBody(JobReport.class);
        call.out().printf("job       %s%n", report.job());
        call.out().printf("state     %s%n", report.state());
        call.out().printf("reason    %s%n", describeReason(report));
        call.out().printf("attempts  %d%n", report.attempts());
        call.out().printf("customer  %s%n", report.spec().customer());
        call.out()
                .printf(
                        "shape     %d x %d accelerators, adjacency %s%n",
                        report.spec().tasks(),
                        report.spec().acceleratorsPerTask(),
                        report.spec().adjacency().text());
        for (PlacementReport task : report.placement()) {
            call.out()
                    .printf(
                            "task      %s on %s, accelerators %s%n",
                            task.task(), task.worker(), task.accelerators());
        }
    }

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

    static ExitStatus list(Invocation call) {
        EntryResponse answer =
                call.sendOrFail(
                        EntryRequest.get("v1", "jobs")
                                .withQueryParameter(CUSTOMER, call.optionValue(CUSTOMER))
                                .withQueryParameter(STATE, call.optionValue(STATE)));
        if (call.isJsonOutput()) {
            call.printBody(answer);
            return ExitStatus.OK;
        }
        Table table = new Table("JOB", "CUSTOMER", "STATE", "SHAPE", "ATTEMPTS", "REASON");
        for (JobReport job : answer.readBody(JobsReport.class).jobs()) {
            table.addRow(
                    job.job(),
                    job.spec().customer(),
                    job.state(),
                    job.spec().tasks() + "x" + job.spec().acceleratorsPerTask(),
                    job.attempts(),
                    describeReason(job));
        }
        call.printLines(table.lines());
        return ExitStatus.OK;
    }
}
