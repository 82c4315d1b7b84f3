package org.quetzalscale.ctl.output;

import java.util.ArrayList;
import java.util.List;

/** Rows of text in columns that are as wide as their widest cell. */
public final class TextTable {
    private static final String GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    /** Starts a table with column titles. */
    public TextTable(List<String> titles) {
        rows.add(List.copyOf(titles));
    }

    /** Adds a row with as many cells as there are titles. */
    public void add(List<String> cells) {
        if (cells.size() != rows.get(0).size()) {
            throw new IllegalArgumentException(
                    cells.size() + " cells in a table of " + rows.get(0).size() + " columns");
        }
        rows.add(List.copyOf(cells));
    }

    /** The lines of the table. */
    public String render() {
        int columns = rows.get(0).size();
        int[] widths = new int[columns];
        for (List<String> row : rows) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < columns; i++) {
                String cell = row.get(i);
                line.append(cell).append(" ".repeat(widths[i] - cell.length())).append(GAP);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }
}
