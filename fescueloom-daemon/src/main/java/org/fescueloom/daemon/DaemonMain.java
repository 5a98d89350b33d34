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

/** Starts the daemon with a settings file. */
public final class DaemonMain {
    /** The exit status if the arguments or the settings are invalid or the file cannot be read. */
    public static final int EXIT_BAD_SETTINGS = 2;

    // Long names of the options
    private static final String CONFIG_OPTION = "config";
    private static final String CHECK_OPTION = "check";
    private static final String HELP_OPTION = "help";

    private DaemonMain() {}

    /**
     * Runs the command line: starts the daemon, checks the settings or prints the help.
     *
     * @param arguments the command-line arguments, not null
     */
    public static void main(String[] arguments) {
        Options options = createOptions();
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            if (line.hasOption(HELP_OPTION) || !line.hasOption(CONFIG_OPTION)) {
                new HelpFormatter().printHelp("fescueloomd", options, true);
                System.exit(line.hasOption(HELP_OPTION) ? 0 : EXIT_BAD_SETTINGS);
            }
            Settings settings = SettingsLoader.load(Path.of(line.getOptionValue(CONFIG_OPTION)));
            if (line.hasOption(CHECK_OPTION)) {
                System.out.println("settings are valid");
                return;
            }
            startDaemon(settings);
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

    private static Options createOptions() {
        Options options = new Options();
        options.addOption(
                Option.builder()
                        .longOpt(CONFIG_OPTION)
                        .hasArg()
                        .argName("FILE")
                        .desc("the settings file, in JSON")
                        .build());
        options.addOption(
                Option.builder().longOpt(CHECK_OPTION).desc("check the settings and exit").build());
        options.addOption(Option.builder().longOpt(HELP_OPTION).desc("print this help").build());
        return options;
    }

    private static void stopDaemon(Daemon daemon) {
        daemon.close();
        EventLog.close();
    }

    private static void startDaemon(Settings settings) {
        EventLog.configure(settings.logLevel(), settings.member());
        Daemon daemon = Daemon.create(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stopDaemon(daemon), "shutdown"));
        daemon.start();
        System.out.println("listening " + daemon.listenAddress());
    }
}
