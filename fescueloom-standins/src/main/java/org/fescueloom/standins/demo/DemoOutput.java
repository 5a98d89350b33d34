package org.fescueloom.standins.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Prints in words what happens and keeps count of what was right. */
final class DemoOutput {
    private final PrintStream out;
    private final long startNanos = System.nanoTime();
    private final List<String> failures = new ArrayList<>();
    private int checkCount;

    /**
     * Creates a narrator.
     *
     * @param out where it prints, not null
     */
    DemoOutput(PrintStream out) {
        this.out = Objects.requireNonNull(out, "out");
    }

    /** Begins a part of the demonstration. */
    void startSection(String title) {
        out.printf("%n[%5.1f s] %s%n", (System.nanoTime() - startNanos) / 1e9, title);
    }

    /** Says one thing. */
    void print(String format, Object... values) {
        out.println("  " + String.format(format, values));
    }

    /** Prints lines as they are. */
    void printLines(String text) {
        text.lines().forEach(line -> out.println("    " + line));
    }

    /** Checks one thing and says whether it is right. */
    void check(boolean passed, String format, Object... values) {
        String text = String.format(format, values);
        checkCount++;
        out.println((passed ? "  right: " : "  WRONG: ") + text);
        if (!passed) {
            failures.add(text);
        }
    }

    /** Notes that a part ended early. */
    void recordFailure(String text) {
        check(false, "%s", text);
    }

    /** Says how it went as a whole. */
    void printSummary() {
        startSection("result");
        print("%d checks, %d wrong", checkCount, failures.size());
        failures.forEach(text -> print("wrong: %s", text));
    }

    /** Tells whether everything was right. */
    boolean allChecksPassed() {
        return checkCount > 0 && failures.isEmpty();
    }
}
