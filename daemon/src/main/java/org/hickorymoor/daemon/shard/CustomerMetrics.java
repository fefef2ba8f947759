package org.hickorymoor.daemon.shard;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToDoubleFunction;
import org.hickorymoor.domain.customer.CustomerUsage;

/**
 * Gauges of the customers with the largest shares; the sums of all others have the name {@code
 * other}. Confined to the event loop thread, but for the gauges, which any thread may read.
 */
final class CustomerMetrics {

  /** Bounds the number of gauges where there are thousands of customers. */
  static final int MAX_NAMED_CUSTOMERS = 50;

  private static final String PREFIX = "customers.";
  private static final String OTHER = "other";

  /** Number of steps of a customer in the current pass. */
  private static final class StepCounts {
    private long held;
    private long overShare;
  }

  private final MetricRegistry registry;
  private final Map<String, AtomicLong> gauges = new HashMap<>();
  private final Map<String, StepCounts> stepsInPass = new HashMap<>();

  CustomerMetrics(MetricRegistry registry) {
    this.registry = registry;
  }

  private StepCounts steps(String customer) {
    return stepsInPass.computeIfAbsent(customer, absent -> new StepCounts());
  }

  /** Counts a step of which the customer's limit holds back tasks. */
  void stepHeld(String customer) {
    steps(customer).held++;
  }

  /** Counts a step that goes behind those of customers within their shares. */
  void stepAboveShare(String customer) {
    steps(customer).overShare++;
  }

  /** Ends a pass; the counts of the next one start at 0. */
  void passEnded() {
    stepsInPass.clear();
  }

  /**
   * Publishes the use of the customers and the counts of this pass.
   *
   * @param usage what the customers have in use
   * @param averageShare gives the averaged share of a customer, by which they are ordered
   */
  void publish(CustomerUsage usage, ToDoubleFunction<String> averageShare) {
    Set<String> customers = new HashSet<>(usage.customers());
    customers.addAll(stepsInPass.keySet());
    Map<String, Double> averages = new HashMap<>();
    customers.forEach(customer -> averages.put(customer, averageShare.applyAsDouble(customer)));
    List<String> ordered =
        customers.stream()
            .sorted(
                Comparator.<String>comparingDouble(
                        customer -> -averages.getOrDefault(customer, 0.0))
                    .thenComparing(Comparator.naturalOrder()))
            .toList();
    Map<String, Long> values = new HashMap<>();
    for (int i = 0; i < ordered.size(); i++) {
      String customer = ordered.get(i);
      String name = PREFIX + (i < MAX_NAMED_CUSTOMERS ? metricName(customer) : OTHER);
      StepCounts steps = stepsInPass.getOrDefault(customer, new StepCounts());
      values.merge(name + ".used-cpu-millis", usage.used(customer).cpuMillis(), Long::sum);
      values.merge(name + ".limit-held-steps", steps.held, Long::sum);
      values.merge(name + ".over-share-steps", steps.overShare, Long::sum);
    }
    setGauges(values);
  }

  /** Replaces what would break a line of the metrics page or the levels of a metric's name. */
  private static String metricName(String customer) {
    return customer.replaceAll("[^A-Za-z0-9_-]", "_");
  }

  private void setGauges(Map<String, Long> values) {
    gauges
        .keySet()
        .removeIf(
            name -> {
              boolean absent = !values.containsKey(name);
              if (absent) {
                registry.remove(name);
              }
              return absent;
            });
    values.forEach(
        (name, value) ->
            gauges
                .computeIfAbsent(
                    name,
                    absent -> {
                      AtomicLong current = new AtomicLong();
                      Gauge<Long> gauge = current::get;
                      registry.gauge(name, () -> gauge);
                      return current;
                    })
                .set(value));
  }

  /** Removes all gauges. */
  void close() {
    setGauges(Map.of());
  }
}
