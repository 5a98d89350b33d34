package org.fescueloom.standins.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Runs the command-line tool as a process of its own. */
final class Tool {
    private final Installation installation;
    private final List<String> entries;

    /**
     * Creates a tool.
     *
     * @param installation finds the program, not null
     * @param entries the entries that it asks, not null
     */
    Tool(Installation installation, List<String> entries) {
        this.installation = installation;
        this.entries = List.copyOf(entries);
    }

    /** Holds what a run of the tool gave. */
    record Result(int status, String out, String err) {}

    /** Runs the tool and waits for its end. */
    Result run(String... arguments) {
        List<String> all = new ArrayList<>(Arrays.asList(arguments));
        entries.forEach(entry -> all.addAll(List.of("--entry", entry)));
        try {
            Path err = Files.createTempFile(installation.directory(), "tool-", ".err");
            Process process =
                    new ProcessBuilder(installation.tool(all.toArray(String[]::new)))
                            .redirectError(err.toFile())
                            .start();
            process.getOutputStream().close();
            String out =
                    new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return new Result(process.waitFor(), out, Files.readString(err));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new DemoException("interrupted");
        }
    }

    /** Runs the tool and ends the demonstration if it fails. */
    Result require(String... arguments) {
        Result result = run(arguments);
        if (result.status() != 0) {
            throw new DemoException(
                    "fescueloom %s ended with status %d: %s%s"
                            .formatted(
                                    String.join(" ", arguments),
                                    result.status(),
                                    result.out(),
                                    result.err()));
        }
        return result;
    }
}
