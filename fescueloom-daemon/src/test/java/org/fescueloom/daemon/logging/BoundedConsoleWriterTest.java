package org.fescueloom.daemon.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;

class BoundedConsoleWriterTest {
    private static LogEntry logEntry(String message) {
        return new LogEntry(
                null,
                Thread.currentThread(),
                Map.of(),
                "class",
                "method",
                "file",
                1,
                null,
                Level.INFO,
                message,
                null);
    }

    @Test
    void writesLinesInOrder() throws InterruptedException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        BoundedConsoleWriter writer =
                new BoundedConsoleWriter(
                        Map.of("format", "{message}"), new PrintStream(bytes, true));
        writer.write(logEntry("one"));
        writer.write(logEntry("two"));
        writer.close();

        assertThat(bytes.toString(StandardCharsets.UTF_8).lines()).containsExactly("one", "two");
    }

    @Test
    void doesNotBlockCallersWhileTheOutputStalls() throws InterruptedException {
        CountDownLatch stalled = new CountDownLatch(1);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        OutputStream output =
                new OutputStream() {
                    @Override
                    public void write(int b) {
                        try {
                            stalled.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                        bytes.write(b);
                    }
                };
        BoundedConsoleWriter writer =
                new BoundedConsoleWriter(
                        Map.of("format", "{message}"), new PrintStream(output, true));

        Assertions.assertTimeoutPreemptively(
                Duration.ofSeconds(10),
                () -> {
                    for (int i = 0; i < 10_000; i++) {
                        writer.write(logEntry("line " + i));
                    }
                });
        stalled.countDown();
        writer.close();

        assertThat(bytes.toString(StandardCharsets.UTF_8)).contains("event=log-dropped lines=");
    }
}
