package org.fescueloom.daemon.jobs;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fescueloom.daemon.DaemonMain;
import org.fescueloom.daemon.settings.Settings;
import org.fescueloom.json.Json;

/** Runs one daemon as a process of its own, which a test may kill, pause and resume. */
final class DaemonProcess implements AutoCloseable {
    private static final Path DIRECTORY = Path.of("target", "daemon-processes");
    private static final long START_SECONDS = 60;

    private final Process process;
    private final Path output;

    private DaemonProcess(Process process, Path output) {
        this.process = process;
        this.output = output;
    }

    static DaemonProcess start(Settings settings) throws IOException {
        Files.createDirectories(DIRECTORY);
        Path config = Files.createTempFile(DIRECTORY, settings.member(), ".json");
        Files.write(config, Json.write(settings));
        Path output = Path.of(config.toString().replace(".json", ".out"));
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-Xmx44m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                DaemonMain.class.getName(),
                                "--config",
                                config.toString())
                        .redirectErrorStream(true)
                        .redirectOutput(output.toFile())
                        .start();
        return new DaemonProcess(process, output);
    }

    String awaitAddress() throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
        while (System.nanoTime() < deadline && process.isAlive()) {
            for (String line : Files.readAllLines(output, StandardCharsets.UTF_8)) {
                if (line.startsWith("listening ")) {
                    return line.substring("listening ".length());
                }
            }
            Thread.sleep(50);
        }
        throw new AssertionError("daemon did not start: " + Files.readString(output));
    }

    long pid() {
        return process.pid();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    boolean terminate(long seconds) throws InterruptedException {
        process.destroy();
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    void pause() throws Exception {
        signal("-STOP");
    }

    void resume() throws Exception {
        signal("-CONT");
    }

    private void signal(String name) throws Exception {
        List<String> command = List.of("kill", name, Long.toString(process.pid()));
        new ProcessBuilder(command).start().waitFor();
    }

    @Override
    public void close() throws Exception {
        if (process.isAlive()) {
            signal("-CONT");
            kill();
        }
    }
}
