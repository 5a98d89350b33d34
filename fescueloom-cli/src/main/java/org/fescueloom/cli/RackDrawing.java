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
 * Draws racks with one letter for each accelerator.
 *
 * <p>Each customer has a letter: a capital one for an accelerator within its guarantee, a small one
 * for a borrowed one. A dot is free. Customers beyond the 26 largest share an asterisk.
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
     * Draws workers by availability zone and rack.
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

    private void assignMarks() {
        Map<String, Long> counts =
                workers.stream()
                        .flatMap(w -> w.accelerators().stream())
                        .filter(a -> a.customer() != null)
                        .collect(
                                Collectors.groupingBy(
                                        AcceleratorReport::customer,
                                        TreeMap::new,
                                        Collectors.counting()));
        counts.entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                .forEach(e -> markByCustomer.put(e.getKey(), markForRank(markByCustomer.size())));
    }

    private static String markForRank(int index) {
        return index < LETTER_COUNT ? Character.toString('A' + index) : SHARED_MARK;
    }

    private List<String> drawRacks() {
        List<String> lines = new ArrayList<>();
        int width = workers.stream().mapToInt(w -> w.worker().length()).max().orElse(0);
        int stateWidth = workers.stream().mapToInt(w -> w.state().length()).max().orElse(0);
        String rack = "";
        for (WorkerSummary worker : workers) {
            String title = worker.zone() + " / rack " + worker.rack();
            if (!title.equals(rack)) {
                lines.add(title);
                rack = title;
            }
            lines.add(
                    "  %s  %s  %s"
                            .formatted(
                                    pad(worker.worker(), width),
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
        String letter = markByCustomer.get(accelerator.customer());
        return accelerator.use() == AcceleratorUse.BORROWED
                ? letter.toLowerCase(Locale.ROOT)
                : letter;
    }

    private List<String> drawLegend() {
        Table table = new Table("MARK", "CUSTOMER", "GUARANTEED", "BORROWED");
        markByCustomer.forEach(
                (customer, letter) ->
                        table.addRow(
                                letter,
                                customer,
                                countAccelerators(customer, AcceleratorUse.GUARANTEED),
                                countAccelerators(customer, AcceleratorUse.BORROWED)));
        List<String> lines = new ArrayList<>(markByCustomer.isEmpty() ? List.of() : table.lines());
        long all = workers.stream().mapToLong(w -> w.accelerators().size()).sum();
        long free =
                workers.stream()
                        .flatMap(w -> w.accelerators().stream())
                        .filter(a -> FREE_MARK.equals(markOf(a)))
                        .count();
        lines.add(
                "%d of %d accelerators are free (.); a small letter is borrowed"
                        .formatted(free, all));
        return lines;
    }

    private long countAccelerators(String customer, AcceleratorUse use) {
        return workers.stream()
                .flatMap(w -> w.accelerators().stream())
                .filter(a -> a.use() == use && customer.equals(a.customer()))
                .count();
    }
}
