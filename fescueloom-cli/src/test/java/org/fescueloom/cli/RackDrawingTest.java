package org.fescueloom.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.fescueloom.report.AcceleratorReport;
import org.fescueloom.report.AcceleratorUse;
import org.fescueloom.report.WorkerSummary;
import org.junit.jupiter.api.Test;

class RackDrawingTest {
    private static WorkerSummary worker(
            String name, String rack, AcceleratorReport... accelerators) {
        return new WorkerSummary(
                name, "north-yard", rack, 0, "ready", 32, 131072, List.of(accelerators), 10);
    }

    private static AcceleratorReport usedAccelerator(
            int index, String customer, AcceleratorUse use) {
        return new AcceleratorReport(index, use, customer, "job-1");
    }

    private static AcceleratorReport freeAccelerator(int index) {
        return new AcceleratorReport(index, AcceleratorUse.FREE, null, null);
    }

    @Test
    void drawsALetterForEachCustomerAndLowerCaseIfBorrowed() {
        List<String> lines =
                RackDrawing.draw(
                        List.of(
                                worker("w-10", "r2", freeAccelerator(0), freeAccelerator(1)),
                                worker(
                                        "w-1",
                                        "r1",
                                        usedAccelerator(0, "parks", AcceleratorUse.GUARANTEED),
                                        usedAccelerator(1, "parks", AcceleratorUse.BORROWED),
                                        usedAccelerator(2, "foremen", AcceleratorUse.GUARANTEED),
                                        freeAccelerator(3))));
        assertThat(lines)
                .startsWith(
                        "north-yard / rack r1",
                        "  w-1   ready  A a B .",
                        "north-yard / rack r2",
                        "  w-10  ready  . .")
                .contains("A     parks     1           1", "B     foremen   1           0")
                .endsWith("3 of 6 accelerators are free (.); a small letter is borrowed");
    }

    @Test
    void drawsAnAsteriskBeyondTwentySixCustomers() {
        List<AcceleratorReport> accelerators = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            accelerators.add(usedAccelerator(i, "team-" + i, AcceleratorUse.GUARANTEED));
        }
        List<String> lines =
                RackDrawing.draw(
                        List.of(worker("w", "r", accelerators.toArray(AcceleratorReport[]::new))));
        assertThat(lines.get(1)).contains(" Z * * * *");
        assertThat(lines).anyMatch(l -> l.startsWith("0 of 30"));
    }

    @Test
    void reportsThatThereAreNoWorkers() {
        assertThat(RackDrawing.draw(List.of())).containsExactly("no workers announce themselves");
    }
}
