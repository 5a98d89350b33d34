package org.fescueloom.standins;

import java.util.Arrays;
import org.apache.commons.cli.ParseException;

/** Starts the program that the first argument names. */
public final class StandInMain {
    private static final int EXIT_USAGE = 2;

    private StandInMain() {}

    /**
     * Starts a program; a stand-in keeps running after this method has returned.
     *
     * @param args the name of the program (log, worker, upstream or load), then its options
     */
    public static void main(String[] args) {
        System.setProperty("jooby.useShutdownHook", "false");
        setDefault("tinylog.level", "warn");
        setDefault("tinylog.writer", "console");
        setDefault("tinylog.writer.stream", "err");
        if (args.length == 0) {
            fail("usage: PROGRAM [OPTIONS], where PROGRAM is one of " + Program.names());
        }
        try {
            Program program = Program.named(args[0]);
            program.run(Arrays.copyOfRange(args, 1, args.length));
        } catch (ParseException | IllegalArgumentException e) {
            fail(e.getMessage());
        }
    }

    private static void setDefault(String key, String value) {
        if (System.getProperty(key) == null) {
            System.setProperty(key, value);
        }
    }

    private static void fail(String message) {
        System.err.println(message);
        System.exit(EXIT_USAGE);
    }
}
