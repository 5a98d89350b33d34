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

/** Shows the state of the system. */
final class SystemCommands {
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private SystemCommands() {}

    static ExitStatus status(Invocation call) {
        EntryResponse answer = call.sendOrFail(EntryRequest.get("v1", "status"));
        if (call.isJsonOutput()) {
            call.printBody(answer);
            return ExitStatus.OK;
        }
        StatusReport report = answer.readBody(StatusReport.class);
        call.out().printf("entry          %s in %s%n", report.entry(), report.zone());
        call.out().printf("configuration  %s%n", describeConfiguration(report));
        call.out().printf("log service    %s%n", report.logReachable() ? "reached" : "not reached");
        call.out().printf("planner        %s%n", report.planner() == null ? "-" : report.planner());
        call.out()
                .printf(
                        "jobs           %s%n",
                        report.jobs().isEmpty() ? "-" : describeJobCounts(report));
        call.out().println();
        call.printLines(zoneTable(report).lines());
        call.out().println();
        call.printLines(memberTable(report).lines());
        return ExitStatus.OK;
    }

    private static String describeConfiguration(StatusReport report) {
        if (report.configVersion() < 0) {
            return "none published yet";
        }
        String age =
                report.configAgeMillis() < 0
                        ? "never confirmed by the log"
                        : "confirmed %s ago".formatted(formatSeconds(report.configAgeMillis()));
        return "version %d, %s".formatted(report.configVersion(), age);
    }

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
                    member.configVersion() < 0 ? "-" : member.configVersion(),
                    formatSeconds(member.ageMillis()) + " ago");
        }
        return table;
    }

    static ExitStatus upstreams(Invocation call) {
        EntryResponse answer = call.sendOrFail(EntryRequest.get("v1", "upstreams"));
        if (call.isJsonOutput()) {
            call.printBody(answer);
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
        for (UpstreamReport upstream : answer.readBody(UpstreamsReport.class).upstreams()) {
            table.addRow(
                    upstream.upstream(),
                    upstream.agent(),
                    upstream.zone(),
                    upstream.address(),
                    upstream.leaving() ? "leaving" : "ready",
                    upstream.running() + "/" + upstream.slots(),
                    upstream.queued(),
                    upstream.serviceMicros() == 0
                            ? null
                            : "%.1f ms".formatted(upstream.serviceMicros() / MICROS_PER_MILLI),
                    formatSeconds(upstream.ageMillis()) + " ago");
        }
        call.printLines(table.lines());
        return ExitStatus.OK;
    }

    static ExitStatus workers(Invocation call) {
        EntryResponse answer = call.sendOrFail(EntryRequest.get("v1", "workers"));
        if (call.isJsonOutput()) {
            call.printBody(answer);
        } else {
            call.printLines(RackDrawing.draw(answer.readBody(WorkersReport.class).workers()));
        }
        return ExitStatus.OK;
    }

    static ExitStatus explain(Invocation call) {
        EntryResponse answer = call.sendOrFail(EntryRequest.get("v1", "explain", call.argument(0)));
        if (call.isJsonOutput()) {
            call.printBody(answer);
            return ExitStatus.OK;
        }
        ExplanationReport report = answer.readBody(ExplanationReport.class);
        call.out()
                .printf(
                        "%s %s is %s: %s%n",
                        report.kind(), report.id(), report.state(), report.summary());
        for (ExplanationStep step : report.steps()) {
            call.out()
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
