package org.fescueloom.standins.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Prints in words what happens and keeps count of what was right. */
final class Narrator {
    private final PrintStream out;
    private final long startNanos = System.nanoTime();
    private final List<String> failures = new ArrayList<>();
    private int checks;

    /**
     * Creates a narrator.
     *
     * @param out where it prints, not null
     */
    Narrator(PrintStream out) {
        this.out = Objects.requireNonNull(out, "out");
    }

    /** Begins a part of the demonstration. */
    void part(String title) {
        out.printf("%n[%5.1f s] %s%n", (System.nanoTime() - startNanos) / 1e9, title);
    }

    /** Says one thing. */
    void say(String format, Object... values) {
        out.println("  " + String.format(format, values));
    }

    /** Prints lines as they are. */
    void show(String text) {
        text.lines().forEach(line -> out.println("    " + line));
    }

    /** Checks one thing and says whether it is right. */
    void check(boolean right, String format, Object... values) {
        String text = String.format(format, values);
        checks++;
        out.println((right ? "  right: " : "  WRONG: ") + text);
        if (!right) {
            failures.add(text);
        }
    }

    /** Notes that a part ended early. */
    void fail(String text) {
        check(false, "%s", text);
    }

    /** Says how it went as a whole. */
    void summary() {
        part("result");
        say("%d checks, %d wrong", checks, failures.size());
        failures.forEach(text -> say("wrong: %s", text));
    }

    /** Tells whether everything was right. */
    boolean isRight() {
        return checks > 0 && failures.isEmpty();
    }
}
