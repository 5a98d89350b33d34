package org.fescueloom.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Formats rows of cells as text in columns, each as wide as its widest cell. */
final class Table {
    private static final String COLUMN_GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    /**
     * Creates a table that has only a header row.
     *
     * @param header the names of the columns, not null
     */
    Table(String... header) {
        rows.add(List.of(header));
    }

    /**
     * Adds a row.
     *
     * @param cells the cells, as many as the header has; null is shown as a hyphen
     * @return this table
     * @throws IllegalArgumentException if the number of cells differs from that of the header
     */
    Table addRow(Object... cells) {
        if (cells.length != rows.get(0).size()) {
            throw new IllegalArgumentException(
                    "row must have " + rows.get(0).size() + " cells, not " + cells.length);
        }
        rows.add(Arrays.stream(cells).map(cell -> cell == null ? "-" : cell.toString()).toList());
        return this;
    }

    /**
     * Returns the header and all rows as lines without trailing spaces.
     *
     * @return the lines, never null
     */
    List<String> lines() {
        int[] widths = new int[rows.get(0).size()];
        for (List<String> row : rows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        return rows.stream().map(row -> formatRow(row, widths)).toList();
    }

    private static String formatRow(List<String> row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
            String cell = row.get(i);
            line.append(cell).append(" ".repeat(widths[i] - cell.length())).append(COLUMN_GAP);
        }
        return line.toString().stripTrailing();
    }
}
