package org.fescueloom.standins;

import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;

/** Reads the options of a program as typed values. */
public final class ProgramOptions {
    /** The option that names where a program listens. */
    static final String LISTEN = "listen";

    private final CommandLine commandLine;

    /**
     * Wraps a parsed command line.
     *
     * @param commandLine the command line, not null
     */
    ProgramOptions(CommandLine commandLine) {
        this.commandLine = commandLine;
    }

    /**
     * Returns where the program is to listen.
     *
     * @return the address, any free port on loopback if the option is absent
     */
    public ListenAddress listen() {
        String text = commandLine.getOptionValue(LISTEN);
        return text == null ? ListenAddress.ANY : ListenAddress.parse(text);
    }

    /**
     * Returns an option that must be there.
     *
     * @param name the option, not null
     * @return the text, never null
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
     * Returns an option that may be absent.
     *
     * @param name the option, not null
     * @return the text, null if the option is absent
     */
    public String textOrNull(String name) {
        return commandLine.getOptionValue(name);
    }

    /**
     * Returns a list with commas between its parts.
     *
     * @param name the option, not null
     * @return the parts, empty if the option is absent
     */
    public List<String> list(String name) {
        String text = commandLine.getOptionValue(name, "");
        return Arrays.stream(text.split(",")).filter(part -> !part.isBlank()).toList();
    }

    /**
     * Returns a whole number.
     *
     * @param name the option, not null
     * @param fallback the number if the option is absent
     * @return the number
     * @throws NumberFormatException if the option is no whole number
     */
    public int number(String name, int fallback) {
        String text = commandLine.getOptionValue(name);
        return text == null ? fallback : Integer.parseInt(text);
    }

    /**
     * Returns a number with a fraction.
     *
     * @param name the option, not null
     * @param fallback the number if the option is absent
     * @return the number
     * @throws NumberFormatException if the option is no number
     */
    public double decimal(String name, double fallback) {
        String text = commandLine.getOptionValue(name);
        return text == null ? fallback : Double.parseDouble(text);
    }
}
