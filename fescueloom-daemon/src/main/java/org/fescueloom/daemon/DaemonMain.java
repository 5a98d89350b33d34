package org.fescueloom.daemon;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.settings.InvalidSettingsException;
import org.fescueloom.daemon.settings.Settings;
import org.fescueloom.daemon.settings.SettingsLoader;

/** Starts the daemon from its settings file. */
public final class DaemonMain {
    /** The exit status after a fault in the arguments or the settings. */
    public static final int EXIT_BAD_SETTINGS = 2;

    private static final String CONFIG = "config";
    private static final String CHECK = "check";
    private static final String HELP = "help";

    private DaemonMain() {}

    /**
     * Runs the daemon until it is told to stop.
     *
     * @param arguments the command line, not null
     */
    public static void main(String[] arguments) {
        Options options = options();
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            if (line.hasOption(HELP) || !line.hasOption(CONFIG)) {
                new HelpFormatter().printHelp("fescueloomd", options, true);
                System.exit(line.hasOption(HELP) ? 0 : EXIT_BAD_SETTINGS);
            }
            Settings settings = SettingsLoader.load(Path.of(line.getOptionValue(CONFIG)));
            if (line.hasOption(CHECK)) {
                System.out.println("settings are valid");
                return;
            }
            run(settings);
        } catch (InvalidSettingsException e) {
            e.faults().forEach(fault -> System.err.println("fescueloomd: " + fault));
            System.exit(EXIT_BAD_SETTINGS);
        } catch (NoSuchFileException e) {
            System.err.println("fescueloomd: no such settings file: " + e.getMessage());
            System.exit(EXIT_BAD_SETTINGS);
        } catch (ParseException | IOException e) {
            System.err.println("fescueloomd: " + e.getMessage());
            System.exit(EXIT_BAD_SETTINGS);
        }
    }

    private static Options options() {
        Options options = new Options();
        options.addOption(
                Option.builder()
                        .longOpt(CONFIG)
                        .hasArg()
                        .argName("FILE")
                        .desc("the settings file, in JSON")
                        .build());
        options.addOption(
                Option.builder().longOpt(CHECK).desc("check the settings and exit").build());
        options.addOption(Option.builder().longOpt(HELP).desc("print this help").build());
        return options;
    }

    private static void stop(Daemon daemon) {
        daemon.close();
        EventLog.close();
    }

    private static void run(Settings settings) {
        EventLog.configure(settings.logLevel(), settings.member());
        Daemon daemon = Daemon.create(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "shutdown"));
        daemon.start();
        System.out.println("listening " + daemon.listenAddress());
    }
}
