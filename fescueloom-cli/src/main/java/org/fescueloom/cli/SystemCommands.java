package org.fescueloom.cli;

import java.time.Instant;
import org.fescueloom.report.ExplanationReport;
import org.fescueloom.report.ExplanationStep;
import org.fescueloom.report.MemberReport;
import org.fescueloom.report.StatusReport;
import org.fescueloom.report.UpstreamReport;
import org.fescueloom.report.UpstreamsReport;
import org.fescueloom.report.WorkersReport;
import org.fescueloom.report.ZoneReport;

/**
 * Implements the commands that show the state of the system, the upstreams, the workers and the
 * explanation of a request or a job.
 */
final class SystemCommands {
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private SystemCommands() {}

    static ExitStatus status(Invocation invocation) {
        EntryResponse response = invocation.sendOrFail(EntryRequest.get("v1", "status"));
        if (invocation.isJsonOutput()) {
            invocation.printBody(response);
            return ExitStatus.OK;
        }
        StatusReport report = response.readBody(StatusReport.class);
        invocation.out().printf("entry          %s in %s%n", report.entry(), report.zone());
        invocation.out().printf("configuration  %s%n", describeConfiguration(report));
        invocation
                .out()
                .printf("log service    %s%n", report.logReachable() ? "reached" : "not reached");
        invocation
                .out()
                .printf("planner        %s%n", report.planner() == null ? "-" : report.planner());
        invocation
                .out()
                .printf(
                        "jobs           %s%n",
                        report.jobs().isEmpty() ? "-" : describeJobCounts(report));
        invocation.out().println();
        invocation.printLines(zoneTable(report).lines());
        invocation.out().println();
        invocation.printLines(memberTable(report).lines());
        return ExitStatus.OK;
    }

    /** Returns the version and its age; the report has -1 for a missing version or age. */
    private static String describeConfiguration(StatusReport report) {
        if (report.configVersion() < 0) {
            return "none published yet";
        }
        String confirmation =
                report.configAgeMillis() < 0
                        ? "never confirmed by the log service"
                        : "confirmed %s ago".formatted(formatSeconds(report.configAgeMillis()));
        return "version %d, %s".formatted(report.configVersion(), confirmation);
    }

    /** Returns the number of jobs in each state, such as "2 running, 1 waiting". */
    private static String describeJobCounts(StatusReport report) {
        StringBuilder text = new StringBuilder();
        report.jobs()
                .forEach(
                        (state, count) ->
                                text.append(text.isEmpty() ? "" : ", ")
                                        .append(count)
                                        .append(' ')
                                        .append(state));
        return text.toString();
    }

    private static Table zoneTable(StatusReport report) {
        Table table = new Table("ZONE", "REGION", "STATE", "UPSTREAMS", "WORKERS", "BUSY");
        for (ZoneReport zone : report.zones()) {
            table.addRow(
                    zone.zone(),
                    zone.region(),
                    zone.state().text(),
                    zone.upstreams(),
                    zone.workers(),
                    zone.busyAccelerators() + "/" + zone.accelerators());
        }
        return table;
    }

    private static Table memberTable(StatusReport report) {
        Table table = new Table("MEMBER", "KIND", "ZONE", "ADDRESS", "STATE", "CONFIG", "HEARD");
        for (MemberReport member : report.members()) {
            table.addRow(
                    member.member(),
                    member.kind().text(),
                    member.zone(),
                    member.address(),
                    member.leaving() ? "leaving" : "ready",
                    // -1 if the member has no configuration
                    member.configVersion() < 0 ? "-" : member.configVersion(),
                    formatSeconds(member.ageMillis()) + " ago");
        }
        return table;
    }

    static ExitStatus upstreams(Invocation invocation) {
        EntryResponse response = invocation.sendOrFail(EntryRequest.get("v1", "upstreams"));
        if (invocation.isJsonOutput()) {
            invocation.printBody(response);
            return ExitStatus.OK;
        }
        Table table =
                new Table(
                        "UPSTREAM",
                        "AGENT",
                        "ZONE",
                        "ADDRESS",
                        "STATE",
                        "RUNNING",
                        "QUEUED",
                        "SERVICE",
                        "HEARD");
        for (UpstreamReport upstream : response.readBody(UpstreamsReport.class).upstreams()) {
            table.addRow(
                    upstream.upstream(),
                    upstream.agent(),
                    upstream.zone(),
                    upstream.address(),
                    upstream.leaving() ? "leaving" : "ready",
                    upstream.running() + "/" + upstream.slots(),
                    upstream.queued(),
                    // 0 if unknown; the table shows null as a hyphen
                    upstream.serviceMicros() == 0
                            ? null
                            : "%.1f ms".formatted(upstream.serviceMicros() / MICROS_PER_MILLI),
                    formatSeconds(upstream.ageMillis()) + " ago");
        }
        invocation.printLines(table.lines());
        return ExitStatus.OK;
    }

    static ExitStatus workers(Invocation invocation) {
        EntryResponse response = invocation.sendOrFail(EntryRequest.get("v1", "workers"));
        if (invocation.isJsonOutput()) {
            invocation.printBody(response);
        } else {
            invocation.printLines(
                    RackDrawing.draw(response.readBody(WorkersReport.class).workers()));
        }
        return ExitStatus.OK;
    }

    static ExitStatus explain(Invocation invocation) {
        EntryResponse response =
                invocation.sendOrFail(EntryRequest.get("v1", "explain", invocation.argument(0)));
        if (invocation.isJsonOutput()) {
            invocation.printBody(response);
            return ExitStatus.OK;
        }
        ExplanationReport report = response.readBody(ExplanationReport.class);
        invocation
                .out()
                .printf(
                        "%s %s is %s: %s%n",
                        report.kind(), report.id(), report.state(), report.summary());
        for (ExplanationStep step : report.steps()) {
            invocation
                    .out()
                    .printf(
                            "  %s  %s: %s%n",
                            Instant.ofEpochMilli(step.atMillis()), step.event(), step.detail());
        }
        return ExitStatus.OK;
    }

    private static String formatSeconds(long millis) {
        return "%.1f s".formatted(millis / MILLIS_PER_SECOND);
    }
}
