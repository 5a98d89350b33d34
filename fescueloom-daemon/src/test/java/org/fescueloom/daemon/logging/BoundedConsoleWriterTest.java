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
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        BoundedConsoleWriter writer =
                new BoundedConsoleWriter(
                        Map.of("format", "{message}"), new PrintStream(written, true));
        writer.write(logEntry("one"));
        writer.write(logEntry("two"));
        writer.close();

        assertThat(written.toString(StandardCharsets.UTF_8).lines()).containsExactly("one", "two");
    }

    @Test
    void doesNotBlockCallersWhileTheOutputStalls() throws InterruptedException {
        CountDownLatch stallEnded = new CountDownLatch(1);
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        OutputStream output =
                new OutputStream() {
                    @Override
                    public void write(int b) {
                        try {
                            stallEnded.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                        written.write(b);
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
        stallEnded.countDown();
        writer.close();

        assertThat(written.toString(StandardCharsets.UTF_8)).contains("event=log-dropped lines=");
    }
}
