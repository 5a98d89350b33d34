package org.fescueloom.standins.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Starts Java programs as processes of their own and ends them all when it is closed. */
public final class ProcessHarness implements AutoCloseable {
    /** Keeps the C library from setting memory aside for each thread, as the launch script does. */
    private static final String MALLOC_ARENA_VARIABLE = "MALLOC_ARENA_MAX";

    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60L);

    private final Path directory;
    private final List<ManagedProcess> processes = new ArrayList<>();
    private int startCount;

    /**
     * Creates a harness without processes.
     *
     * @param directory where the output of the processes and their files go, not null; made if
     *     needed
     */
    public ProcessHarness(Path directory) {
        this.directory = directory;
        try {
            Files.createDirectories(directory);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns where files of the processes go.
     *
     * @return the directory, never null
     */
    public Path directory() {
        return directory;
    }

    /**
     * Starts a program on this JVM's class path and waits until it listens.
     *
     * @param name a name for its output file, not null
     * @param mainClass its main class, not null
     * @param jvmOptions the options of its JVM, not null
     * @param arguments its arguments, not null
     * @return the process, never null
     * @throws IllegalStateException if it does not get ready
     */
    public synchronized ManagedProcess start(
            String name, String mainClass, List<String> jvmOptions, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(jvmOptions);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass);
        command.addAll(arguments);
        Path outputFile = directory.resolve(name + "-" + startCount++ + ".out");
        ManagedProcess process = new ManagedProcess(name, launch(command, outputFile), outputFile);
        processes.add(process);
        process.awaitReady(READY_TIMEOUT);
        return process;
    }

    /** Ends every process that this harness has started and that still runs. */
    @Override
    public synchronized void close() {
        processes.stream().filter(ManagedProcess::isAlive).forEach(ManagedProcess::kill);
        processes.clear();
    }

    private static Process launch(List<String> command, Path outputFile) {
        try {
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put(MALLOC_ARENA_VARIABLE, "2");
            return builder.redirectErrorStream(true).redirectOutput(outputFile.toFile()).start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
