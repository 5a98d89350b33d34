package org.fescueloom.standins.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Runs the command-line tool as a separate process. */
final class CommandLineTool {
    private final Installation installation;
    private final List<String> entryAddresses;

    /**
     * Creates a tool.
     *
     * @param installation provides the command that runs the tool, not null
     * @param entryAddresses the addresses of the entries that the tool calls, not null
     */
    CommandLineTool(Installation installation, List<String> entryAddresses) {
        this.installation = installation;
        this.entryAddresses = List.copyOf(entryAddresses);
    }

    /** Holds the exit status and the output of one run of the tool. */
    record Result(int exitStatus, String standardOutput, String errorOutput) {}

    /** Runs the tool and waits until the tool has ended. */
    Result run(String... arguments) {
        List<String> allArguments = new ArrayList<>(Arrays.asList(arguments));
        entryAddresses.forEach(entry -> allArguments.addAll(List.of("--entry", entry)));
        try {
            Path errorFile = Files.createTempFile(installation.runDirectory(), "tool-", ".err");
            Process process =
                    new ProcessBuilder(
                                    installation.toolCommand(allArguments.toArray(String[]::new)))
                            .redirectError(errorFile.toFile())
                            .start();
            process.getOutputStream().close();
            String standardOutput =
                    new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return new Result(process.waitFor(), standardOutput, Files.readString(errorFile));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new DemoException("interrupted");
        }
    }

    /**
     * Runs the tool.
     *
     * @throws DemoException if the exit status of the tool is not 0
     */
    Result runOrThrow(String... arguments) {
        Result result = run(arguments);
        if (result.exitStatus() != 0) {
            throw new DemoException(
                    "fescueloom %s exited with status %d, expected 0: %s%s"
                            .formatted(
                                    String.join(" ", arguments),
                                    result.exitStatus(),
                                    result.standardOutput(),
                                    result.errorOutput()));
        }
        return result;
    }
}
