package org.fescueloom.standins.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Prints the progress of the demonstration and counts passed and failed checks. */
final class DemoOutput {
    private final PrintStream out;
    private final long startNanos = System.nanoTime();
    private final List<String> failures = new ArrayList<>();
    private int checkCount;

    /**
     * Creates an output without checks.
     *
     * @param out the stream to print to, not null
     */
    DemoOutput(PrintStream out) {
        this.out = Objects.requireNonNull(out, "out");
    }

    /** Prints the title of a section with the time since the start. */
    void startSection(String title) {
        out.printf("%n[%5.1f s] %s%n", (System.nanoTime() - startNanos) / 1e9, title);
    }

    /** Prints one formatted line. */
    void print(String format, Object... values) {
        out.println("  " + String.format(format, values));
    }

    /** Prints the lines of a text, indented. */
    void printLines(String text) {
        text.lines().forEach(line -> out.println("    " + line));
    }

    /** Prints and counts one check, and records the text as a failure if the check did not pass. */
    void check(boolean passed, String format, Object... values) {
        String text = String.format(format, values);
        checkCount++;
        out.println((passed ? "  passed: " : "  FAILED: ") + text);
        if (!passed) {
            failures.add(text);
        }
    }

    /** Records a failure outside of the regular checks. */
    void recordFailure(String text) {
        check(false, "%s", text);
    }

    /** Prints the number of checks and all failures. */
    void printSummary() {
        startSection("result");
        print("%d checks, %d failed", checkCount, failures.size());
        failures.forEach(text -> print("failed: %s", text));
    }

    /** Returns whether there was at least one check and all checks have passed. */
    boolean allChecksPassed() {
        return checkCount > 0 && failures.isEmpty();
    }
}
