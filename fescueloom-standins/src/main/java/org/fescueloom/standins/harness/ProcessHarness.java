package org.fescueloom.standins.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Starts Java programs as separate processes and kills all of them when the harness is closed. */
public final class ProcessHarness implements AutoCloseable {
    /**
     * The environment variable that limits the number of memory arenas of the C library. Without a
     * limit the C library reserves memory for each thread. The launch script sets this variable
     * too.
     */
    private static final String MALLOC_ARENA_VARIABLE = "MALLOC_ARENA_MAX";

    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60L);

    private final Path directory;
    private final List<ManagedProcess> processes = new ArrayList<>();
    private int startCount;

    /**
     * Creates a harness without processes.
     *
     * @param directory the directory for the output and the other files of the processes, not null;
     *     created if it does not exist
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
     * Returns the directory for the output and the other files of the processes.
     *
     * @return the directory, never null
     */
    public Path directory() {
        return directory;
    }

    /**
     * Starts a program with the class path of this JVM and waits until the program listens.
     *
     * @param name the name of the process, with which the name of its output file begins, not null
     * @param mainClass the name of the main class, not null
     * @param jvmOptions the JVM options, not null
     * @param arguments the arguments of the program, not null
     * @return the process, never null
     * @throws IllegalStateException if the program does not listen in time
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

    /** Kills every process that this harness has started and that still runs. */
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
