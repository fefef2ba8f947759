package org.hickorymoor.bench.policy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.hickorymoor.domain.job.JobClass;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Draws bar charts of the replay results, one bar per scheduler and load, averaged over seeds. */
final class ReplayPlots {

  private static final int WIDTH_PX = 900;
  private static final int HEIGHT_PX = 420;

  private final Path outputFolder;

  ReplayPlots(Path outputFolder) {
    this.outputFolder = outputFolder;
  }

  void draw(List<ReplayRow> rows) throws IOException {
    draw(
        rows,
        "replay-urgent-wait",
        "99th percentile wait of urgent jobs, ms",
        row -> row.result().waitMs(JobClass.URGENT).getValueAtPercentile(99));
    draw(
        rows,
        "replay-packing",
        "share of slots used while tasks are queued",
        row -> row.result().usedShareWhileWaiting());
    draw(rows, "replay-control", "decisions", row -> row.result().decisions);
  }

  private void draw(
      List<ReplayRow> rows, String file, String title, ToDoubleFunction<ReplayRow> value)
      throws IOException {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH_PX)
            .height(HEIGHT_PX)
            .title(title)
            .xAxisTitle("load")
            .yAxisTitle("")
            .build();
    bySchedulerAndLoad(rows, value)
        .forEach(
            (scheduler, byLoad) ->
                chart.addSeries(
                    scheduler, new ArrayList<>(byLoad.keySet()), new ArrayList<>(byLoad.values())));
    BitmapEncoder.saveBitmap(
        chart, outputFolder.resolve(file).toString(), BitmapEncoder.BitmapFormat.PNG);
  }

  private static Map<String, Map<Double, Double>> bySchedulerAndLoad(
      List<ReplayRow> rows, ToDoubleFunction<ReplayRow> value) {
    return rows.stream()
        .collect(
            Collectors.groupingBy(
                ReplayRow::scheduler,
                LinkedHashMap::new,
                Collectors.groupingBy(
                    ReplayRow::load, LinkedHashMap::new, Collectors.averagingDouble(value))));
  }
}
