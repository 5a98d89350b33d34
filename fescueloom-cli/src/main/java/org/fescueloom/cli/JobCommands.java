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
    private static final Set<String> ENDED = Set.of(SUCCEEDED, "failed", "cancelled");
    private static final long POLL_MILLIS = 250;

    private JobCommands() {}

    static void submitOptions(Options options) {
        options.addOption(
                Option.builder().longOpt(WAIT).desc("wait until the job has ended").build());
    }

    static ExitStatus submit(Invocation call) {
        String job = call.argument(0);
        byte[] spec = call.readFile(call.argument(1));
        checkSpec(call.argument(1), spec);
        EntryAnswer answer = call.send(EntryRequest.put(spec, "v1", "jobs", job));
        if (!call.line().hasOption(WAIT)) {
            print(call, answer);
            return ExitStatus.OK;
        }
        answer = await(call, job);
        print(call, answer);
        return SUCCEEDED.equals(answer.read(JobReport.class).state())
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

    private static EntryAnswer await(Invocation call, String job) {
        while (true) {
            EntryAnswer answer = call.send(EntryRequest.get("v1", "jobs", job));
            if (ENDED.contains(answer.read(JobReport.class).state())) {
                return answer;
            }
            pause();
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitStatus.INTERNAL, "interrupted while waiting");
        }
    }

    static ExitStatus show(Invocation call) {
        print(call, call.send(EntryRequest.get("v1", "jobs", call.argument(0))));
        return ExitStatus.OK;
    }

    static ExitStatus cancel(Invocation call) {
        print(call, call.send(EntryRequest.delete("v1", "jobs", call.argument(0))));
        return ExitStatus.OK;
    }

    private static void print(Invocation call, EntryAnswer answer) {
        if (call.json()) {
            call.printBody(answer);
            return;
        }
        JobReport report = answer.read(JobReport.class);
        call.out().printf("job       %s%n", report.job());
        call.out().printf("state     %s%n", report.state());
        call.out().printf("reason    %s%n", reason(report));
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

    private static String reason(JobReport report) {
        if (report.reason() == null) {
            return report.detail() == null ? "-" : report.detail();
        }
        return report.detail() == null ? report.reason() : report.reason() + ": " + report.detail();
    }

    static void listOptions(Options options) {
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
        EntryAnswer answer =
                call.send(
                        EntryRequest.get("v1", "jobs")
                                .withQuery(CUSTOMER, call.option(CUSTOMER))
                                .withQuery(STATE, call.option(STATE)));
        if (call.json()) {
            call.printBody(answer);
            return ExitStatus.OK;
        }
        Table table = new Table("JOB", "CUSTOMER", "STATE", "SHAPE", "ATTEMPTS", "REASON");
        for (JobReport job : answer.read(JobsReport.class).jobs()) {
            table.row(
                    job.job(),
                    job.spec().customer(),
                    job.state(),
                    job.spec().tasks() + "x" + job.spec().acceleratorsPerTask(),
                    job.attempts(),
                    reason(job));
        }
        call.printLines(table.lines());
        return ExitStatus.OK;
    }
}
