package org.fescueloom.cli;

import java.io.InputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Runs one command of the command-line tool fescueloom. */
public final class CommandLineMain {
    private static final String PROGRAM_NAME = "fescueloom";
    // Width and indentation of the list of options, in characters
    private static final int HELP_WIDTH = 96;
    private static final int HELP_INDENT = 2;

    private final Map<String, String> environment;
    private final InputStream in;
    private final PrintStream out;
    private final PrintStream err;

    /**
     * Creates the tool with its environment variables and standard streams.
     *
     * @param environment the environment variables, not null
     * @param in the standard input, not null
     * @param out the standard output, not null
     * @param err the standard error, not null
     */
    public CommandLineMain(
            Map<String, String> environment, InputStream in, PrintStream out, PrintStream err) {
        this.environment = Map.copyOf(environment);
        this.in = Objects.requireNonNull(in, "in");
        this.out = Objects.requireNonNull(out, "out");
        this.err = Objects.requireNonNull(err, "err");
    }

    /**
     * Runs the tool and ends the process with the exit status of the command.
     *
     * @param arguments the command-line arguments, not null
     */
    public static void main(String[] arguments) {
        // Standard output is flushed once, when the command has ended.
        PrintStream out = new PrintStream(System.out, false, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
        ExitStatus status =
                new CommandLineMain(System.getenv(), System.in, out, err).run(arguments);
        out.flush();
        System.exit(status.code());
    }

    /**
     * Runs one command. Writes the message of a failure to standard error, or the overview of all
     * commands if none is given.
     *
     * @param arguments the command-line arguments, not null
     * @return the exit status, never null
     */
    public ExitStatus run(String... arguments) {
        try {
            return parseAndRun(arguments);
        } catch (CommandException e) {
            err.println(PROGRAM_NAME + ": " + e.getMessage());
            return e.status();
        } catch (ParseException e) {
            err.println(PROGRAM_NAME + ": " + e.getMessage() + "; see " + PROGRAM_NAME + " --help");
            return ExitStatus.USAGE;
        } catch (RuntimeException e) {
            err.println(PROGRAM_NAME + ": internal fault: " + e);
            return ExitStatus.INTERNAL;
        }
    }

    private ExitStatus parseAndRun(String[] arguments) throws ParseException {
        // Parsing stops at the command name; only the global options before the name are parsed.
        CommandLine globalOptions =
                new DefaultParser().parse(GlobalOptions.create(), arguments, true);
        List<String> argumentsFromName = globalOptions.getArgList();
        if (argumentsFromName.isEmpty()) {
            printOverview(globalOptions.hasOption(GlobalOptions.HELP_OPTION) ? out : err);
            return globalOptions.hasOption(GlobalOptions.HELP_OPTION)
                    ? ExitStatus.OK
                    : ExitStatus.USAGE;
        }
        Command command = Command.find(argumentsFromName).orElse(null);
        // Help for an unknown or incomplete command name, such as "job --help"
        if (command == null && argumentsFromName.contains("--" + GlobalOptions.HELP_OPTION)) {
            printOverview(out);
            return ExitStatus.OK;
        }
        if (command == null) {
            throw new CommandException(
                    ExitStatus.USAGE,
                    "unknown command or option at the beginning of \"%s\"; see %s --help"
                            .formatted(String.join(" ", argumentsFromName), PROGRAM_NAME));
        }
        return run(command, withoutCommandName(command, arguments, argumentsFromName));
    }

    /** Removes the name of the command, so that options may stand before and after the name. */
    private static String[] withoutCommandName(
            Command command, String[] arguments, List<String> argumentsFromName) {
        int nameStart = arguments.length - argumentsFromName.size();
        int nameEnd = nameStart + command.nameWordCount();
        String[] result = Arrays.copyOf(arguments, arguments.length - command.nameWordCount());
        System.arraycopy(arguments, nameEnd, result, nameStart, arguments.length - nameEnd);
        return result;
    }

    private ExitStatus run(Command command, String[] arguments) throws ParseException {
        Options options = command.options();
        CommandLine commandLine = new DefaultParser().parse(options, arguments);
        if (commandLine.hasOption(GlobalOptions.HELP_OPTION)) {
            printHelp(command, options);
            return ExitStatus.OK;
        }
        if (commandLine.getArgList().size() != command.argumentCount()) {
            throw new CommandException(
                    ExitStatus.USAGE,
                    "expected %d arguments, found %d; usage: %s %s [OPTIONS]"
                            .formatted(
                                    command.argumentCount(),
                                    commandLine.getArgList().size(),
                                    PROGRAM_NAME,
                                    command.usage()));
        }
        List<String> entries = GlobalOptions.readEntries(commandLine, environment);
        try (EntryClient client =
                new EntryClient(entries, GlobalOptions.readTimeout(commandLine))) {
            return command.run(new Invocation(commandLine, client, in, out, err));
        }
    }

    private void printOverview(PrintStream stream) {
        stream.println("usage: " + PROGRAM_NAME + " COMMAND [OPTIONS]");
        stream.println();
        Table commandTable = new Table("COMMAND", "WHAT IT DOES");
        for (Command command : Command.values()) {
            commandTable.addRow(command.usage(), command.summary());
        }
        commandTable.lines().forEach(stream::println);
        stream.println();
        printOptions(stream, GlobalOptions.create());
        stream.println();
        Table statusTable = new Table("EXIT STATUS", "MEANING");
        for (ExitStatus status : ExitStatus.values()) {
            statusTable.addRow(status.code(), status.meaning());
        }
        statusTable.lines().forEach(stream::println);
    }

    private void printHelp(Command command, Options options) {
        out.println("usage: %s %s [OPTIONS]".formatted(PROGRAM_NAME, command.usage()));
        out.println(command.summary());
        out.println();
        printOptions(out, options);
    }

    private static void printOptions(PrintStream stream, Options options) {
        PrintWriter writer = new PrintWriter(stream, false, StandardCharsets.UTF_8);
        new HelpFormatter().printOptions(writer, HELP_WIDTH, options, HELP_INDENT, HELP_INDENT);
        writer.flush();
    }
}
