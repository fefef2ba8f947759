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

/** Writes the rows of a series and the lines fitted to them as CSV files. */
final class LoadCsvWriter {

  private static final int MIN_DISTINCT_VALUES = 3;

  private LoadCsvWriter() {}

  static void writeRows(List<LoadRow> rows, Path file) throws IOException {
    try (Writer writer = Files.newBufferedWriter(file);
        CSVPrinter csv = new CSVPrinter(writer, CSVFormat.DEFAULT)) {
      csv.printRecord(LoadRow.header());
      for (LoadRow row : rows) {
        csv.printRecord(row.values());
      }
    }
  }

  /** Fits a line to every cost of each role whose rows cover enough distinct axis values. */
  static void writeFits(List<LoadRow> rows, Path file) throws IOException {
    try (Writer writer = Files.newBufferedWriter(file);
        CSVPrinter csv = new CSVPrinter(writer, CSVFormat.DEFAULT)) {
      csv.printRecord("role", "cost", "rows", "intercept", "interceptError", "slope", "slopeError");
      for (String role : List.of("coordinator", "other")) {
        List<LoadRow> rowsOfRole = rows.stream().filter(row -> row.role().equals(role)).toList();
        if (rowsOfRole.stream().mapToInt(LoadRow::value).distinct().count()
            >= MIN_DISTINCT_VALUES) {
          printFits(role, rowsOfRole, csv);
        }
      }
    }
  }

  private static void printFits(String role, List<LoadRow> rows, CSVPrinter csv)
      throws IOException {
    double[] x = rows.stream().mapToDouble(LoadRow::value).toArray();
    for (int i = 0; i < LoadRow.COST_COLUMNS.size(); i++) {
      int column = i;
      LinearFit fit =
          LinearFit.fit(x, rows.stream().mapToDouble(row -> row.costs()[column]).toArray());
      List<Object> values = new ArrayList<>(List.of(role, LoadRow.COST_COLUMNS.get(i)));
      values.add(rows.size());
      values.addAll(List.of(format(fit.intercept()), format(fit.interceptError())));
      values.addAll(List.of(format(fit.slope()), format(fit.slopeError())));
      csv.printRecord(values);
    }
  }

  private static String format(double number) {
    return String.format(Locale.ROOT, "%.4f", number);
  }
}
