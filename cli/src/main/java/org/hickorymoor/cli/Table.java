package org.hickorymoor.cli;

import java.util.ArrayList;
import java.util.List;

/** Formats rows of text in aligned columns. Not thread-safe. */
final class Table {

  private static final String COLUMN_SEPARATOR = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  Table(String... header) {
    rows.add(List.of(header));
  }

  void add(Object... cells) {
    List<String> row = new ArrayList<>();
    for (Object cell : cells) {
      row.add(replaceControlChars(String.valueOf(cell)));
    }
    rows.add(row);
  }

  /** Returns the formatted rows, header first. */
  List<String> lines() {
    return rows.stream().map(this::line).toList();
  }

  private String line(List<String> row) {
    StringBuilder line = new StringBuilder();
    for (int column = 0; column < row.size(); column++) {
      String cell = row.get(column);
      line.append(cell).append(" ".repeat(width(column) - cell.length())).append(COLUMN_SEPARATOR);
    }
    return line.toString().stripTrailing();
  }

  private int width(int column) {
    return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
  }

  /** Replaces control characters, so that text from the server can't control the terminal. */
  static String replaceControlChars(String text) {
    return text.replaceAll("\\p{Cntrl}", " ");
  }
}
