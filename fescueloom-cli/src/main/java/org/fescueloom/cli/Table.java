package org.fescueloom.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Lays out rows of cells in columns that are as wide as their widest cell. */
final class Table {
    private static final String COLUMN_GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    /**
     * Creates a table with its header.
     *
     * @param header the names of the columns, not null
     */
    Table(String... header) {
        rows.add(List.of(header));
    }

    /**
     * Adds a row.
     *
     * @param cells the cells, as many as the header has; null stands as a hyphen
     * @return this table
     * @throws IllegalArgumentException if the number of cells differs from the header's
     */
    Table addRow(Object... cells) {
        if (cells.length != rows.get(0).size()) {
            throw new IllegalArgumentException("row has " + cells.length + " cells");
        }
        rows.add(Arrays.stream(cells).map(c -> c == null ? "-" : c.toString()).toList());
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
