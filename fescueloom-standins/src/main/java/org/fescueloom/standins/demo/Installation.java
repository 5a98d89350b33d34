package org.fescueloom.standins.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Provides the commands that start the programs of a built checkout.
 *
 * @param checkout the root directory of the checkout, not null
 * @param runDirectory the directory for the settings and logs of this run of the demonstration, not
 *     null
 */
record Installation(Path checkout, Path runDirectory) {
    private static final List<String> SMALL_JVM_OPTIONS =
            List.of(
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xmx48m",
                    "-Xss320k",
                    "-XX:-UsePerfData");

    /** Creates an installation with a new run directory in the build output. */
    static Installation of(Path checkout) {
        try {
            Path parent = checkout.resolve("fescueloom-standins/target/demo");
            Files.createDirectories(parent);
            return new Installation(checkout, Files.createTempDirectory(parent, "run-"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the command that starts an entry or an agent with a settings file. */
    List<String> daemonCommand(Path settings) {
        List<String> command = new ArrayList<>(List.of(java()));
        command.add("@" + checkout.resolve("bin/fescueloomd.jvm"));
        command.addAll(List.of("-jar", jar("fescueloom-daemon")));
        command.addAll(List.of("--config", settings.toString()));
        return command;
    }

    /** Returns the command that starts a stand-in. */
    List<String> standInCommand(String... arguments) {
        return programCommand("fescueloom-standins", arguments);
    }

    /** Returns the command that runs the command-line tool. */
    List<String> toolCommand(String... arguments) {
        return programCommand("fescueloom-cli", arguments);
    }

    private List<String> programCommand(String module, String... arguments) {
        List<String> command = new ArrayList<>(List.of(java()));
        command.addAll(SMALL_JVM_OPTIONS);
        command.addAll(List.of("-jar", jar(module)));
        command.addAll(List.of(arguments));
        return command;
    }

    private static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    /** Returns the JAR file of a module; the build gives it the name of the module. */
    private String jar(String module) {
        Path jar = checkout.resolve(module).resolve("target").resolve(module + ".jar");
        if (!Files.isRegularFile(jar)) {
            throw new DemoException(jar + " does not exist; run: mvn -q -DskipTests package");
        }
        return jar.toString();
    }
}
