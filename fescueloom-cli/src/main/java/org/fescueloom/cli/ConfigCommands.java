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

/**
 * Implements the commands that print and publish the configuration and take availability zones out
 * of service or bring them back.
 */
final class ConfigCommands {
    // Long names of the options
    private static final String BASE_OPTION = "base";
    private static final String LATEST_OPTION = "latest";

    private ConfigCommands() {}

    static ExitStatus printConfiguration(Invocation invocation) {
        EntryResponse response = invocation.sendOrFail(EntryRequest.get("v1", "config"));
        invocation.err().println("version " + readVersion(response));
        invocation.printBody(response);
        return ExitStatus.OK;
    }

    static void addPublishOptions(Options options) {
        options.addOption(
                Option.builder()
                        .longOpt(BASE_OPTION)
                        .hasArg()
                        .argName("VERSION")
                        .desc(
                                "the version on which the document is based; refused if it is no"
                                        + " longer the current one")
                        .build());
        options.addOption(
                Option.builder()
                        .longOpt(LATEST_OPTION)
                        .desc("replace the current version, whichever it is")
                        .build());
    }

    static ExitStatus publishConfiguration(Invocation invocation) {
        byte[] document = invocation.readFile(invocation.argument(0));
        requireValidDocument(invocation.argument(0), document);
        String baseVersion = invocation.wholeNumberOption(BASE_OPTION);
        if ((baseVersion == null) != invocation.line().hasOption(LATEST_OPTION)) {
            throw new CommandException(
                    ExitStatus.USAGE, "exactly one of --base VERSION and --latest is required");
        }
        if (baseVersion == null) {
            baseVersion = readVersion(invocation.sendOrFail(EntryRequest.get("v1", "config")));
        }
        EntryResponse response =
                invocation.sendOrFail(
                        EntryRequest.put(document, "v1", "config")
                                .withHeader("If-Match", '"' + baseVersion + '"')
                                .notRepeatable());
        if (invocation.isJsonOutput()) {
            invocation.printBody(response);
        } else {
            invocation
                    .out()
                    .println(
                            "published version "
                                    + response.readBody(VersionReport.class).version());
        }
        return ExitStatus.OK;
    }

    /** Rejects an invalid document before anything is sent. */
    private static void requireValidDocument(String file, byte[] document) {
        try {
            Json.readStrict(document, ConfigurationDocument.class);
        } catch (SchedulerException e) {
            throw new CommandException(ExitStatus.USAGE, file + ": " + e.getMessage());
        }
    }

    /** Returns the version of the configuration from the ETag header, without quotes. */
    private static String readVersion(EntryResponse response) {
        return response.header("ETag")
                .map(tag -> tag.replace("\"", ""))
                .orElseThrow(
                        () ->
                                new CommandException(
                                        ExitStatus.INVALID_RESPONSE,
                                        "the response of entry %s has no ETag header"
                                                .formatted(response.entry())));
    }

    static ExitStatus takeZoneOut(Invocation invocation) {
        return changeZone(invocation, ZoneState.OUT);
    }

    static ExitStatus bringZoneIn(Invocation invocation) {
        return changeZone(invocation, ZoneState.IN);
    }

    private static ExitStatus changeZone(Invocation invocation, ZoneState state) {
        byte[] body = Json.write(Map.of("state", state));
        EntryResponse response =
                invocation.sendOrFail(
                        EntryRequest.put(body, "v1", "zones", invocation.argument(0)));
        ZoneChangeReport report = response.readBody(ZoneChangeReport.class);
        if (invocation.isJsonOutput()) {
            invocation.printBody(response);
        } else {
            printZoneChange(invocation, report);
        }
        return report.inForce() ? ExitStatus.OK : ExitStatus.NOT_IN_FORCE;
    }

    private static void printZoneChange(Invocation invocation, ZoneChangeReport report) {
        invocation
                .out()
                .printf(
                        "zone %s is %s with version %d, %s%n",
                        report.zone(),
                        report.state().text(),
                        report.version(),
                        report.inForce() ? "in force everywhere" : "not yet confirmed by:");
        report.unconfirmed().forEach(member -> invocation.out().println("  " + member));
        report.brokenGuarantees()
                .forEach(text -> invocation.out().println("guarantee cannot be met: " + text));
    }
}
