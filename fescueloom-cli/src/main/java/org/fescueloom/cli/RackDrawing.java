package org.fescueloom.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.fescueloom.report.AcceleratorReport;
import org.fescueloom.report.AcceleratorUse;
import org.fescueloom.report.WorkerSummary;

/**
 * Draws racks and workers as text, with one mark for each accelerator.
 *
 * <p>The 26 customers that use the most accelerators have a letter each: upper case for a
 * guaranteed accelerator, lower case for a borrowed one. All other customers share the asterisk.
 * The mark of a free accelerator is a dot.
 */
final class RackDrawing {
    private static final String FREE_MARK = ".";
    private static final String SHARED_MARK = "*";
    private static final int LETTER_COUNT = 26;

    private final List<WorkerSummary> workers;
    private final Map<String, String> markByCustomer = new LinkedHashMap<>();

    private RackDrawing(List<WorkerSummary> workers) {
        this.workers =
                workers.stream()
                        .sorted(
                                Comparator.comparing(WorkerSummary::zone)
                                        .thenComparing(WorkerSummary::rack)
                                        .thenComparing(WorkerSummary::position)
                                        .thenComparing(WorkerSummary::worker))
                        .toList();
    }

    /**
     * Draws workers grouped by availability zone and rack, followed by a legend.
     *
     * @param workers the workers, not null
     * @return the lines, never null
     */
    static List<String> draw(List<WorkerSummary> workers) {
        if (workers.isEmpty()) {
            return List.of("no workers announce themselves");
        }
        RackDrawing drawing = new RackDrawing(workers);
        drawing.assignMarks();
        List<String> lines = drawing.drawRacks();
        lines.add("");
        lines.addAll(drawing.drawLegend());
        return lines;
    }

    /** Assigns a mark to each customer, in descending order of the accelerators that they use. */
    private void assignMarks() {
        Map<String, Long> acceleratorCounts =
                workers.stream()
                        .flatMap(worker -> worker.accelerators().stream())
                        .filter(accelerator -> accelerator.customer() != null)
                        .collect(
                                Collectors.groupingBy(
                                        AcceleratorReport::customer,
                                        TreeMap::new,
                                        Collectors.counting()));
        acceleratorCounts.entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                .forEach(
                        countOfCustomer ->
                                markByCustomer.put(
                                        countOfCustomer.getKey(),
                                        markForRank(markByCustomer.size())));
    }

    /** Returns the mark of the customer with a rank; rank 0 uses the most accelerators. */
    private static String markForRank(int rank) {
        return rank < LETTER_COUNT ? Character.toString('A' + rank) : SHARED_MARK;
    }

    private List<String> drawRacks() {
        List<String> lines = new ArrayList<>();
        int workerWidth =
                workers.stream().mapToInt(worker -> worker.worker().length()).max().orElse(0);
        int stateWidth =
                workers.stream().mapToInt(worker -> worker.state().length()).max().orElse(0);
        String currentTitle = "";
        for (WorkerSummary worker : workers) {
            String title = worker.zone() + " / rack " + worker.rack();
            if (!title.equals(currentTitle)) {
                lines.add(title);
                currentTitle = title;
            }
            lines.add(
                    "  %s  %s  %s"
                            .formatted(
                                    pad(worker.worker(), workerWidth),
                                    pad(worker.state(), stateWidth),
                                    acceleratorMarks(worker)));
        }
        return lines;
    }

    private static String pad(String text, int width) {
        return text + " ".repeat(width - text.length());
    }

    private String acceleratorMarks(WorkerSummary worker) {
        if (worker.accelerators().isEmpty()) {
            return "-";
        }
        return worker.accelerators().stream().map(this::markOf).collect(Collectors.joining(" "));
    }

    private String markOf(AcceleratorReport accelerator) {
        if (accelerator.use() == AcceleratorUse.FREE || accelerator.customer() == null) {
            return FREE_MARK;
        }
        String mark = markByCustomer.get(accelerator.customer());
        return accelerator.use() == AcceleratorUse.BORROWED ? mark.toLowerCase(Locale.ROOT) : mark;
    }

    /** Returns a line for each customer and the number of free accelerators. */
    private List<String> drawLegend() {
        Table table = new Table("MARK", "CUSTOMER", "GUARANTEED", "BORROWED");
        markByCustomer.forEach(
                (customer, mark) ->
                        table.addRow(
                                mark,
                                customer,
                                countAccelerators(customer, AcceleratorUse.GUARANTEED),
                                countAccelerators(customer, AcceleratorUse.BORROWED)));
        List<String> lines = new ArrayList<>(markByCustomer.isEmpty() ? List.of() : table.lines());
        long acceleratorCount =
                workers.stream().mapToLong(worker -> worker.accelerators().size()).sum();
        long freeCount =
                workers.stream()
                        .flatMap(worker -> worker.accelerators().stream())
                        .filter(accelerator -> FREE_MARK.equals(markOf(accelerator)))
                        .count();
        lines.add(
                "%d of %d accelerators are free (.); a small letter is borrowed"
                        .formatted(freeCount, acceleratorCount));
        return lines;
    }

    private long countAccelerators(String customer, AcceleratorUse use) {
        return workers.stream()
                .flatMap(worker -> worker.accelerators().stream())
                .filter(
                        accelerator ->
                                accelerator.use() == use && customer.equals(accelerator.customer()))
                .count();
    }
}
