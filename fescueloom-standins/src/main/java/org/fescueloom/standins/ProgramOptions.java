package org.fescueloom.standins;

import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;

/** Provides the options of a program as typed values. */
public final class ProgramOptions {
    /** The name of the option for the address to listen on. */
    static final String LISTEN = "listen";

    private final CommandLine commandLine;

    /**
     * Creates the options of a command line.
     *
     * @param commandLine the parsed command line, not null
     */
    ProgramOptions(CommandLine commandLine) {
        this.commandLine = commandLine;
    }

    /**
     * Returns the address to listen on.
     *
     * @return the address, never null; any free port of the loopback interface if the option is
     *     absent
     */
    public ListenAddress listen() {
        String text = commandLine.getOptionValue(LISTEN);
        return text == null ? ListenAddress.ANY : ListenAddress.parse(text);
    }

    /**
     * Returns the value of a required option.
     *
     * @param name the name of the option, not null
     * @return the value, never null
     * @throws IllegalArgumentException if the option is absent
     */
    public String text(String name) {
        String text = commandLine.getOptionValue(name);
        if (text == null) {
            throw new IllegalArgumentException("option --" + name + " is missing");
        }
        return text;
    }

    /**
     * Returns the value of an optional option.
     *
     * @param name the name of the option, not null
     * @return the value, null if the option is absent
     */
    public String textOrNull(String name) {
        return commandLine.getOptionValue(name);
    }

    /**
     * Returns the value of an option as a list that is separated by commas.
     *
     * @param name the name of the option, not null
     * @return the elements without blank ones, never null; empty if the option is absent
     */
    public List<String> list(String name) {
        String text = commandLine.getOptionValue(name, "");
        return Arrays.stream(text.split(",")).filter(part -> !part.isBlank()).toList();
    }

    /**
     * Returns the value of an option as an integer.
     *
     * @param name the name of the option, not null
     * @param fallback the result if the option is absent
     * @return the number
     * @throws NumberFormatException if the value is not an integer
     */
    public int number(String name, int fallback) {
        String text = commandLine.getOptionValue(name);
        return text == null ? fallback : Integer.parseInt(text);
    }

    /**
     * Returns the value of an option as a floating-point number.
     *
     * @param name the name of the option, not null
     * @param fallback the result if the option is absent
     * @return the number
     * @throws NumberFormatException if the value is not a number
     */
    public double decimal(String name, double fallback) {
        String text = commandLine.getOptionValue(name);
        return text == null ? fallback : Double.parseDouble(text);
    }
}
