package org.hickorymoor.bench.load;

import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/** Writes the rows of a series, and the lines fitted to them. */
final class LoadFiles {

  private static final int MIN_ROWS = 3;

  private LoadFiles() {}

  static void writeRows(List<LoadRow> rows, Path file) throws IOException {
    try (Writer writer = Files.newBufferedWriter(file);
        CSVPrinter csv = new CSVPrinter(writer, CSVFormat.DEFAULT)) {
      csv.printRecord(LoadRow.header());
      for (LoadRow row : rows) {
        csv.printRecord(row.values());
      }
    }
  }

  /** Fits a line to every cost of each role that has enough rows. */
  static void writeLines(List<LoadRow> rows, Path file) throws IOException {
    try (Writer writer = Files.newBufferedWriter(file);
        CSVPrinter csv = new CSVPrinter(writer, CSVFormat.DEFAULT)) {
      csv.printRecord("role", "cost", "rows", "intercept", "interceptError", "slope", "slopeError");
      for (String role : List.of("coordinator", "other")) {
        List<LoadRow> ofRole = rows.stream().filter(row -> row.role().equals(role)).toList();
        if (ofRole.stream().mapToInt(LoadRow::value).distinct().count() >= MIN_ROWS) {
          printLines(role, ofRole, csv);
        }
      }
    }
  }

  private static void printLines(String role, List<LoadRow> rows, CSVPrinter csv)
      throws IOException {
    double[] x = rows.stream().mapToDouble(LoadRow::value).toArray();
    for (int i = 0; i < LoadRow.COST_COLUMNS.size(); i++) {
      int column = i;
      Line line = Line.fit(x, rows.stream().mapToDouble(row -> row.costs()[column]).toArray());
      List<Object> values = new ArrayList<>(List.of(role, LoadRow.COST_COLUMNS.get(i)));
      values.add(rows.size());
      values.addAll(List.of(text(line.intercept()), text(line.interceptError())));
      values.addAll(List.of(text(line.slope()), text(line.slopeError())));
      csv.printRecord(values);
    }
  }

  private static String text(double number) {
    return String.format(Locale.ROOT, "%.4f", number);
  }
}
