package org.hickorymoor.bench.policy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Plots the latency of a scheduling round against workers, queued jobs and teams. */
final class DecidePlots {

  private static final int WIDTH_PX = 900;
  private static final int HEIGHT_PX = 420;
  private static final List<String> SWEEPS = List.of("workers", "queuedJobs", "teams");

  private final Path outputFolder;

  DecidePlots(Path outputFolder) {
    this.outputFolder = outputFolder;
  }

  void draw(List<DecideRow> rows) throws IOException {
    for (String sweep : SWEEPS) {
      draw(sweep, rows.stream().filter(row -> row.sweep().equals(sweep)).toList());
    }
  }

  private void draw(String sweep, List<DecideRow> rows) throws IOException {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PX)
            .height(HEIGHT_PX)
            .title("scheduling round latency by " + sweep)
            .xAxisTitle(sweep)
            .yAxisTitle("microseconds")
            .build();
    List<Integer> sweepValues = rows.stream().map(DecideRow::sweepValue).toList();
    chart.getStyler().setXAxisLogarithmic(true);
    chart.addSeries("mean", sweepValues, rows.stream().map(DecideRow::meanMicros).toList());
    chart.addSeries("p99", sweepValues, rows.stream().map(DecideRow::p99Micros).toList());
    String file = outputFolder.resolve("decide-" + sweep).toString();
    BitmapEncoder.saveBitmap(chart, file, BitmapEncoder.BitmapFormat.PNG);
  }
}
