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
 * Holds what a command works with.
 *
 * @param line the parsed options and arguments, not null
 * @param client calls the entries, not null
 * @param in the standard input, not null
 * @param out the standard output, not null
 * @param err the standard error, not null
 */
public record Invocation(
        CommandLine line, EntryClient client, InputStream in, PrintStream out, PrintStream err) {
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
     * Returns an argument that is no option.
     *
     * @param index the place, from 0
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
     * Returns the value of an option that is a whole number of at least 0.
     *
     * @param name the long name, not null
     * @return the text of the number; null if the option is not given
     * @throws CommandException with status {@code USAGE} if it is no such number
     */
    public String wholeNumberOption(String name) {
        String text = optionValue(name);
        if (text != null && !text.matches("[0-9]{1,18}")) {
            throw new CommandException(
                    ExitStatus.USAGE, "--" + name + " must be a whole number, not " + text);
        }
        return text;
    }

    /**
     * Tells whether output is to be JSON.
     *
     * @return true if the option is given
     */
    public boolean isJsonOutput() {
        return line.hasOption(GlobalOptions.JSON_OPTION);
    }

    /**
     * Sends a call and fails unless it succeeds.
     *
     * @param call the call, not null
     * @return the answer, with a status of success, never null
     * @throws CommandException with the status that stands for the failure
     */
    public EntryResponse sendOrFail(EntryRequest call) {
        EntryResponse answer = client.send(call);
        if (!answer.isSuccess()) {
            throw FailureResponses.toException(answer);
        }
        return answer;
    }

    /**
     * Prints the body of an answer, which is JSON text.
     *
     * @param answer the answer, not null
     */
    public void printBody(EntryResponse answer) {
        out.println(new String(answer.body(), StandardCharsets.UTF_8));
    }

    /**
     * Reads a local file or the standard input.
     *
     * @param file the path of the file; "-" for the standard input, not null
     * @return the content, never null
     * @throws CommandException with status {@code USAGE} if it cannot be read
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
     * Prints lines.
     *
     * @param lines the lines, not null
     */
    public void printLines(List<String> lines) {
        lines.forEach(out::println);
    }
}
