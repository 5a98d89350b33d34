package org.fescueloom.standins.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Represents one process that a test has started. */
public final class ManagedProcess {
    /**
     * The start of the output line with which a process reports the address on which it listens.
     */
    private static final String READY_PREFIX = "listening ";

    private static final long POLL_MILLIS = 20L;

    private final String name;
    private final Process process;
    private final Path outputFile;
    private String address = "";

    ManagedProcess(String name, Process process, Path outputFile) {
        this.name = name;
        this.process = process;
        this.outputFile = outputFile;
    }

    /**
     * Returns the name that the test gave this process.
     *
     * @return the name, never null
     */
    public String name() {
        return name;
    }

    /**
     * Returns the address on which this process listens.
     *
     * @return the address as "address:port", never null; empty before {@link #awaitReady}
     */
    public String address() {
        return address;
    }

    /**
     * Returns whether this process has not ended.
     *
     * @return true while the process runs or is paused
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Waits until this process reports the address on which it listens.
     *
     * @param limit the longest time to wait, not null
     * @throws IllegalStateException if the process ends or does not report an address in time
     */
    public void awaitReady(Duration limit) {
        long endNanos = System.nanoTime() + limit.toNanos();
        Optional<String> line = readyLine();
        while (line.isEmpty()) {
            if (!process.isAlive() || System.nanoTime() > endNanos) {
                throw new IllegalStateException(
                        name
                                + " ended or did not listen within "
                                + limit.toSeconds()
                                + " s; see "
                                + outputFile);
            }
            sleep();
            line = readyLine();
        }
        address = line.get().substring(READY_PREFIX.length());
    }

    /**
     * Sends a signal to this process.
     *
     * @param signal the signal, not null
     */
    public void send(Signal signal) {
        try {
            new ProcessBuilder("kill", "-" + signal.name(), Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits for the end of this process.
     *
     * @param limit the longest time to wait, not null
     * @return true if the process ended in time, false if not or if the thread was interrupted
     */
    public boolean awaitExit(Duration limit) {
        try {
            return process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Kills this process and waits until the process has ended. */
    public void kill() {
        send(Signal.KILL);
        process.destroyForcibly().onExit().join();
    }

    /**
     * Returns the resident memory of this process.
     *
     * @return the memory, in kibibytes; 0 if the process has ended
     */
    public long residentKib() {
        try {
            return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                    .filter(l -> l.startsWith("VmRSS:"))
                    .mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")))
                    .findFirst()
                    .orElse(0L);
        } catch (IOException e) {
            return 0L;
        }
    }

    /**
     * Returns the processor time that this process has used.
     *
     * @return the time, in milliseconds; 0 if the process has ended
     */
    public long cpuMillis() {
        return process.info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
    }

    private Optional<String> readyLine() {
        try {
            List<String> lines = Files.readAllLines(outputFile);
            return lines.stream().filter(l -> l.startsWith(READY_PREFIX)).findFirst();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static void sleep() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
