package org.fescueloom.standins.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Represents one process of the demonstration, which prints the address on which it listens. */
final class DemoProcess {
    private static final String LISTENING_PREFIX = "listening ";
    private static final String RESIDENT_MEMORY_PREFIX = "VmRSS:";
    private static final long POLL_MILLIS = 20;

    private final String name;
    private final Process process;
    private final Path outputFile;

    private DemoProcess(String name, Process process, Path outputFile) {
        this.name = name;
        this.process = process;
        this.outputFile = outputFile;
    }

    /**
     * Starts a process.
     *
     * @param name the name of the process and, with a suffix, of its output files, not null
     * @param directory the directory for the output files, not null
     * @param command the program and its arguments, not null
     * @return the process, never null
     */
    static DemoProcess start(String name, Path directory, List<String> command) {
        Path outputFile = directory.resolve(name + ".out");
        try {
            Process process =
                    new ProcessBuilder(command)
                            .redirectOutput(outputFile.toFile())
                            .redirectError(directory.resolve(name + ".log").toFile())
                            .start();
            return new DemoProcess(Objects.requireNonNull(name, "name"), process, outputFile);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    String name() {
        return name;
    }

    long pid() {
        return process.pid();
    }

    /**
     * Waits until the process prints the address on which it listens.
     *
     * @param limit the longest time to wait, not null
     * @return the address as "address:port", never null
     * @throws DemoException if the process ends or does not print an address in time
     */
    String awaitAddress(Duration limit) {
        long endNanos = System.nanoTime() + limit.toNanos();
        while (System.nanoTime() < endNanos && process.isAlive()) {
            Optional<String> address = address();
            if (address.isPresent()) {
                return address.get();
            }
            Pause.millis(POLL_MILLIS);
        }
        throw new DemoException(
                name
                        + " ended or did not listen within "
                        + limit.toSeconds()
                        + " s; see its log next to "
                        + outputFile);
    }

    private Optional<String> address() {
        try {
            return Files.readAllLines(outputFile, StandardCharsets.UTF_8).stream()
                    .filter(line -> line.startsWith(LISTENING_PREFIX))
                    .map(line -> line.substring(LISTENING_PREFIX.length()).trim())
                    .findFirst();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the resident memory of the process.
     *
     * @return the memory, in kibibytes, or empty if the operating system does not report it
     */
    OptionalLong residentKib() {
        Path status = Path.of("/proc", Long.toString(pid()), "status");
        if (!Files.isReadable(status)) {
            return OptionalLong.empty();
        }
        try {
            return Files.readAllLines(status).stream()
                    .filter(line -> line.startsWith(RESIDENT_MEMORY_PREFIX))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                    .findFirst();
        } catch (IOException e) {
            return OptionalLong.empty();
        }
    }

    /** Asks the process to shut down. */
    void terminate() {
        process.destroy();
    }

    /**
     * Waits for the end of the process and kills the process if it does not end in time.
     *
     * @param limit the longest time to wait, not null
     * @return true if the process ended by itself, false if it was killed
     */
    boolean awaitEnd(Duration limit) {
        try {
            if (process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS)) {
                return true;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        process.destroyForcibly();
        return false;
    }
}
