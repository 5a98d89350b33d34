package org.fescueloom.standins.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds the programs of a checkout that has been built.
 *
 * @param home the root of the checkout, not null
 * @param directory where the demonstration keeps its settings and logs, not null
 */
record Installation(Path home, Path directory) {
    private static final List<String> SMALL =
            List.of(
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xmx48m",
                    "-Xss320k",
                    "-XX:-UsePerfData");

    /** Creates an installation with a fresh directory under the build output. */
    static Installation of(Path home) {
        try {
            Path parent = home.resolve("fescueloom-standins/target/demo");
            Files.createDirectories(parent);
            return new Installation(home, Files.createTempDirectory(parent, "run-"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the command that starts a daemon with a settings file. */
    List<String> daemon(Path settings) {
        List<String> command = new ArrayList<>(List.of(java()));
        command.add("@" + home.resolve("bin/fescueloomd.jvm"));
        command.addAll(List.of("-jar", jar("fescueloom-daemon")));
        command.addAll(List.of("--config", settings.toString()));
        return command;
    }

    /** Returns the command that starts a stand-in. */
    List<String> standIn(String... arguments) {
        return program("fescueloom-standins", arguments);
    }

    /** Returns the command that starts the command-line tool. */
    List<String> tool(String... arguments) {
        return program("fescueloom-cli", arguments);
    }

    private List<String> program(String module, String... arguments) {
        List<String> command = new ArrayList<>(List.of(java()));
        command.addAll(SMALL);
        command.addAll(List.of("-jar", jar(module)));
        command.addAll(List.of(arguments));
        return command;
    }

    private static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    private String jar(String module) {
        Path target = home.resolve(module).resolve("target");
        try (DirectoryStream<Path> jars = Files.newDirectoryStream(target, module + "-*.jar")) {
            for (Path jar : jars) {
                return jar.toString();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        throw new DemoException(module + " is not built");
    }
}
