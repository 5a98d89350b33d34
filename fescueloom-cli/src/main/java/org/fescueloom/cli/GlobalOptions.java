package org.fescueloom.cli;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.fescueloom.wire.SocketAddresses;

/** Defines and reads the options that all commands have. */
final class GlobalOptions {
    /** The long name of the option for output as JSON. */
    static final String JSON_OPTION = "json";

    /** The long name of the option for help. */
    static final String HELP_OPTION = "help";

    /** The environment variable with the addresses of entries, separated by commas. */
    static final String ENTRIES_VARIABLE = "FESCUELOOM_ENTRIES";

    private static final String ENTRY_OPTION = "entry";
    private static final String TIMEOUT_OPTION = "timeout";

    /** How long a command waits for a response if the option is not given. */
    private static final long DEFAULT_TIMEOUT_SECONDS = 60;

    /** The greatest value of the option: one day. */
    private static final long MAX_TIMEOUT_SECONDS = 86_400;

    private GlobalOptions() {}

    static Options create() {
        Options options = new Options();
        options.addOption(
                Option.builder("e")
                        .longOpt(ENTRY_OPTION)
                        .hasArg()
                        .argName("ADDRESS")
                        .desc(
                                "the address of an entry, as IP address and port; may be repeated,"
                                        + " the first entry that responds is used; default: "
                                        + ENTRIES_VARIABLE)
                        .build());
        options.addOption(
                Option.builder().longOpt(JSON_OPTION).desc("print the response as JSON").build());
        options.addOption(
                Option.builder()
                        .longOpt(TIMEOUT_OPTION)
                        .hasArg()
                        .argName("SECONDS")
                        .desc("the timeout for a response; default: " + DEFAULT_TIMEOUT_SECONDS)
                        .build());
        options.addOption(Option.builder("h").longOpt(HELP_OPTION).desc("print help").build());
        return options;
    }

    /** Returns the addresses of the option, or else of the environment variable; never empty. */
    static List<String> readEntries(CommandLine line, Map<String, String> environment) {
        List<String> entries = new ArrayList<>();
        if (line.hasOption(ENTRY_OPTION)) {
            entries.addAll(Arrays.asList(line.getOptionValues(ENTRY_OPTION)));
        } else {
            Arrays.stream(environment.getOrDefault(ENTRIES_VARIABLE, "").split(","))
                    .map(String::trim)
                    .filter(text -> !text.isEmpty())
                    .forEach(entries::add);
        }
        if (entries.isEmpty()) {
            throw new CommandException(
                    ExitStatus.USAGE,
                    "no entry address; give --entry ADDRESS or set " + ENTRIES_VARIABLE);
        }
        for (String entry : entries) {
            if (!SocketAddresses.isConnectable(entry)) {
                throw new CommandException(
                        ExitStatus.USAGE,
                        "entry "
                                + entry
                                + " must be "
                                + SocketAddresses.EXPECTED_FORM
                                + "; the port must not be 0, the IP address must not be 0.0.0.0 or"
                                + " [::]");
            }
        }
        return entries;
    }

    /** Returns the value of the option, or the default. */
    static Duration readTimeout(CommandLine line) {
        String text = line.getOptionValue(TIMEOUT_OPTION, Long.toString(DEFAULT_TIMEOUT_SECONDS));
        if (!text.matches("[0-9]{1,5}")
                || Long.parseLong(text) < 1
                || Long.parseLong(text) > MAX_TIMEOUT_SECONDS) {
            throw new CommandException(
                    ExitStatus.USAGE,
                    "--timeout must be from 1 to " + MAX_TIMEOUT_SECONDS + " seconds, not " + text);
        }
        return Duration.ofSeconds(Long.parseLong(text));
    }
}
