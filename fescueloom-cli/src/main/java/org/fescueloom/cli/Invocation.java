package org.fescueloom.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import org.apache.commons.cli.CommandLine;

/**
 * Holds the parsed command line, the client and the standard streams for one run of a command.
 *
 * @param line the parsed options and arguments, not null
 * @param client the client that sends requests to the entries, not null
 * @param in the standard input, not null
 * @param out the standard output, not null
 * @param err the standard error, not null
 */
public record Invocation(
        CommandLine line, EntryClient client, InputStream in, PrintStream out, PrintStream err) {
    // File name that stands for the standard input
    private static final String STANDARD_INPUT = "-";

    /** Checks that no component is null. */
    public Invocation {
        Objects.requireNonNull(line, "line");
        Objects.requireNonNull(client, "client");
        Objects.requireNonNull(in, "in");
        Objects.requireNonNull(out, "out");
        Objects.requireNonNull(err, "err");
    }

    /**
     * Returns an argument that is not an option.
     *
     * @param index the position among these arguments, from 0
     * @return the argument, never null
     */
    public String argument(int index) {
        return line.getArgList().get(index);
    }

    /**
     * Returns the value of an option.
     *
     * @param name the long name, not null
     * @return the value; null if the option is not given
     */
    public String optionValue(String name) {
        return line.getOptionValue(name);
    }

    /**
     * Returns the value of an option whose value must be a whole number of 1 to 18 digits.
     *
     * @param name the long name, not null
     * @return the number as text; null if the option is not given
     * @throws CommandException with status {@code USAGE} if the value is not such a number
     */
    public String wholeNumberOption(String name) {
        String text = optionValue(name);
        if (text != null && !text.matches("[0-9]{1,18}")) {
            throw new CommandException(
                    ExitStatus.USAGE,
                    "--" + name + " must be a whole number of 1 to 18 digits, not " + text);
        }
        return text;
    }

    /**
     * Tells whether the command prints JSON.
     *
     * @return true if the option {@code --json} is given
     */
    public boolean isJsonOutput() {
        return line.hasOption(GlobalOptions.JSON_OPTION);
    }

    /**
     * Sends a request and throws an exception if the status of the response reports a failure.
     *
     * @param request the request, not null
     * @return the response, whose status reports success, never null
     * @throws CommandException with the exit status of the failure
     */
    public EntryResponse sendOrFail(EntryRequest request) {
        EntryResponse response = client.send(request);
        if (!response.isSuccess()) {
            throw FailureResponses.toException(response);
        }
        return response;
    }

    /**
     * Prints the body of a response, which is JSON text.
     *
     * @param response the response, not null
     */
    public void printBody(EntryResponse response) {
        out.println(new String(response.body(), StandardCharsets.UTF_8));
    }

    /**
     * Reads a local file or the standard input.
     *
     * @param file the path of the file; "-" for the standard input, not null
     * @return the content, never null
     * @throws CommandException with status {@code USAGE} if the file cannot be read
     */
    public byte[] readFile(String file) {
        try {
            return STANDARD_INPUT.equals(file)
                    ? in.readAllBytes()
                    : Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            throw new CommandException(
                    ExitStatus.USAGE, "file " + file + " cannot be read: " + e.getMessage());
        }
    }

    /**
     * Prints lines to the standard output.
     *
     * @param lines the lines, not null
     */
    public void printLines(List<String> lines) {
        lines.forEach(out::println);
    }
}
