package org.fescueloom.cli;

import java.util.Map;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.ZoneState;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;
import org.fescueloom.report.VersionReport;
import org.fescueloom.report.ZoneChangeReport;

/** Reads and publishes the configuration and takes availability zones out and in. */
final class ConfigCommands {
    private static final String BASE = "base";
    private static final String LATEST = "latest";

    private ConfigCommands() {}

    static ExitStatus printConfiguration(Invocation call) {
        EntryResponse answer = call.sendOrFail(EntryRequest.get("v1", "config"));
        call.err().println("version " + readVersion(answer));
        call.printBody(answer);
        return ExitStatus.OK;
    }

    static void addPublishOptions(Options options) {
        options.addOption(
                Option.builder()
                        .longOpt(BASE)
                        .hasArg()
                        .argName("VERSION")
                        .desc(
                                "the version that the document was edited from; refused if it is no"
                                        + " longer the current one")
                        .build());
        options.addOption(
                Option.builder()
                        .longOpt(LATEST)
                        .desc("replace whatever version is the current one")
                        .build());
    }

    static ExitStatus publishConfiguration(Invocation call) {
        byte[] document = call.readFile(call.argument(0));
        checkDocument(call.argument(0), document);
        String base = call.wholeNumberOption(BASE);
        if ((base == null) != call.line().hasOption(LATEST)) {
            throw new CommandException(ExitStatus.USAGE, "give either --base VERSION or --latest");
        }
        if (base == null) {
            base = readVersion(call.sendOrFail(EntryRequest.get("v1", "config")));
        }
        EntryResponse answer =
                call.sendOrFail(
                        EntryRequest.put(document, "v1", "config")
                                .withHeader("If-Match", '"' + base + '"')
                                .notRepeatable());
        if (call.isJsonOutput()) {
            call.printBody(answer);
        } else {
            call.out()
                    .println("published version " + answer.readBody(VersionReport.class).version());
        }
        return ExitStatus.OK;
    }

    private static void checkDocument(String file, byte[] document) {
        try {
            Json.readStrict(document, ConfigurationDocument.class);
        } catch (SchedulerException e) {
            throw new CommandException(ExitStatus.USAGE, file + ": " + e.getMessage());
        }
    }

    private static String readVersion(EntryResponse answer) {
        return answer.header("ETag")
                .map(tag -> tag.replace("\"", ""))
                .orElseThrow(
                        () ->
                                new CommandException(
                                        ExitStatus.INVALID_RESPONSE,
                                        "entry %s named no version".formatted(answer.entry())));
    }

    static ExitStatus takeZoneOut(Invocation call) {
        return changeZone(call, ZoneState.OUT);
    }

    static ExitStatus bringZoneIn(Invocation call) {
        return changeZone(call, ZoneState.IN);
    }

    private static ExitStatus changeZone(Invocation call, ZoneState state) {
        byte[] body = Json.write(Map.of("state", state));
        EntryResponse answer =
                call.sendOrFail(EntryRequest.put(body, "v1", "zones", call.argument(0)));
        ZoneChangeReport report = answer.readBody(ZoneChangeReport.class);
        if (call.isJsonOutput()) {
            call.printBody(answer);
        } else {
            printZoneChange(call, report);
        }
        return report.inForce() ? ExitStatus.OK : ExitStatus.NOT_IN_FORCE;
    }

    private static void printZoneChange(Invocation call, ZoneChangeReport report) {
        call.out()
                .printf(
                        "zone %s is %s with version %d, %s%n",
                        report.zone(),
                        report.state().text(),
                        report.version(),
                        report.inForce() ? "in force everywhere" : "not yet confirmed by:");
        report.unconfirmed().forEach(member -> call.out().println("  " + member));
        report.brokenGuarantees()
                .forEach(text -> call.out().println("guarantee cannot be met: " + text));
    }
}
