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

/** Runs one command of the tool fescueloom. */
public final class CommandLineMain {
    private static final String PROGRAM = "fescueloom";
    private static final int HELP_WIDTH = 96;
    private static final int HELP_INDENT = 2;

    private final Map<String, String> environment;
    private final InputStream in;
    private final PrintStream out;
    private final PrintStream err;

    /**
     * Creates the tool with its surroundings.
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
     * Runs the tool and ends the process with the status of the command.
     *
     * @param arguments the command line, not null
     */
    public static void main(String[] arguments) {
        PrintStream out = new PrintStream(System.out, false, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
        ExitStatus status =
                new CommandLineMain(System.getenv(), System.in, out, err).run(arguments);
        out.flush();
        System.exit(status.code());
    }

    /**
     * Runs one command.
     *
     * @param arguments the command line, not null
     * @return the status to end with, never null
     */
    public ExitStatus run(String... arguments) {
        try {
            return parseAndRun(arguments);
        } catch (CommandException e) {
            err.println(PROGRAM + ": " + e.getMessage());
            return e.status();
        } catch (ParseException e) {
            err.println(PROGRAM + ": " + e.getMessage() + "; see " + PROGRAM + " --help");
            return ExitStatus.USAGE;
        } catch (RuntimeException e) {
            err.println(PROGRAM + ": internal fault: " + e);
            return ExitStatus.INTERNAL;
        }
    }

    private ExitStatus parseAndRun(String[] arguments) throws ParseException {
        CommandLine global = new DefaultParser().parse(GlobalOptions.create(), arguments, true);
        List<String> rest = global.getArgList();
        if (rest.isEmpty()) {
            printOverview(global.hasOption(GlobalOptions.HELP_OPTION) ? out : err);
            return global.hasOption(GlobalOptions.HELP_OPTION) ? ExitStatus.OK : ExitStatus.USAGE;
        }
        Command command = Command.find(rest).orElse(null);
        if (command == null && rest.contains("--" + GlobalOptions.HELP_OPTION)) {
            printOverview(out);
            return ExitStatus.OK;
        }
        if (command == null) {
            throw new CommandException(
                    ExitStatus.USAGE,
                    "no command %s; see %s --help".formatted(String.join(" ", rest), PROGRAM));
        }
        return run(command, withoutCommandName(command, arguments, rest));
    }

    /** Leaves out the words of the command, so that options may stand before and after them. */
    private static String[] withoutCommandName(Command command, String[] all, List<String> rest) {
        int first = all.length - rest.size();
        int next = first + command.nameWordCount();
        String[] kept = Arrays.copyOf(all, all.length - command.nameWordCount());
        System.arraycopy(all, next, kept, first, all.length - next);
        return kept;
    }

    private ExitStatus run(Command command, String[] arguments) throws ParseException {
        Options options = command.options();
        CommandLine line = new DefaultParser().parse(options, arguments);
        if (line.hasOption(GlobalOptions.HELP_OPTION)) {
            printHelp(command, options);
            return ExitStatus.OK;
        }
        if (line.getArgList().size() != command.argumentCount()) {
            throw new CommandException(
                    ExitStatus.USAGE, "usage: %s %s [OPTIONS]".formatted(PROGRAM, command.usage()));
        }
        List<String> entries = GlobalOptions.readEntries(line, environment);
        try (EntryClient client = new EntryClient(entries, GlobalOptions.readTimeout(line))) {
            return command.run(new Invocation(line, client, in, out, err));
        }
    }

    private void printOverview(PrintStream stream) {
        stream.println("usage: " + PROGRAM + " COMMAND [OPTIONS]");
        stream.println();
        Table table = new Table("COMMAND", "WHAT IT DOES");
        for (Command command : Command.values()) {
            table.addRow(command.usage(), command.summary());
        }
        table.lines().forEach(stream::println);
        stream.println();
        printOptions(stream, GlobalOptions.create());
        stream.println();
        Table statuses = new Table("EXIT STATUS", "MEANING");
        for (ExitStatus status : ExitStatus.values()) {
            statuses.addRow(status.code(), status.meaning());
        }
        statuses.lines().forEach(stream::println);
    }

    private void printHelp(Command command, Options options) {
        out.println("usage: %s %s [OPTIONS]".formatted(PROGRAM, command.usage()));
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
