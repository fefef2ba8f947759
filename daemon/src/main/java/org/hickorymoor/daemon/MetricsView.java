package org.hickorymoor.daemon;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.TreeMap;

/** Reduces each metric to a single value, keyed by its name. */
final class MetricsView {

  private MetricsView() {}

  static Map<String, Object> of(MetricRegistry metrics) {
    Map<String, Object> view = new TreeMap<>();
    metrics.getMetrics().forEach((name, metric) -> view.put(name, value(metric)));
    return view;
  }

  private static Object value(Metric metric) {
    if (metric instanceof Counter counter) {
      return counter.getCount();
    }
    if (metric instanceof Meter meter) {
      return meter.getCount();
    }
    if (metric instanceof Gauge<?> gauge && gauge.getValue() instanceof Number number) {
      return number;
    }
    return metric.toString();
  }
}
