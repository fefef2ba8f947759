package org.hickorymoor.daemon.peer;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * Counters for traffic and events of the transport, named {@code
 * peer.<side>.<direction>.<purpose>.bytes} and {@code .messages}, {@code
 * peer.<side>.<direction>.link.<region>.<domain>.bytes} and {@code peer.<side>.<event>}.
 *
 * <p>Safe for use by several threads.
 */
final class PeerMetrics {

  /** Events other than traffic. */
  enum Event {
    CONNECTED,
    CONNECT_FAILED,
    CLOSED_SILENT,
    CLOSED_SLOW_READER,
    CLOSED_MALFORMED,
    REJECTED_CONNECTION,
    REPLY_DROPPED,
    REPLY_TOO_LARGE,
    UNSUPPORTED_VERSION,
    OVERLOADED,
    DEADLINE_PASSED
  }

  /** Direction of traffic. */
  enum Direction {
    SENT,
    RECEIVED
  }

  private record TrafficCounters(Counter bytes, Counter messages) {}

  private final MetricRegistry registry;
  private final String prefix;
  private final Map<Event, Counter> events = new EnumMap<>(Event.class);
  private final Map<Direction, Map<Purpose, TrafficCounters>> traffic =
      new EnumMap<>(Direction.class);

  /**
   * Registers the counters.
   *
   * @param registry where they are registered
   * @param side {@code client} or {@code server}
   */
  PeerMetrics(MetricRegistry registry, String side) {
    this.registry = registry;
    this.prefix = MetricRegistry.name("peer", side);
    for (Event event : Event.values()) {
      events.put(event, registry.counter(MetricRegistry.name(prefix, lowerCase(event))));
    }
    for (Direction direction : Direction.values()) {
      traffic.put(direction, registerTrafficCounters(direction));
    }
  }

  void count(Event event) {
    requireNonNull(events.get(event)).inc();
  }

  void count(Direction direction, Purpose purpose, long bytes) {
    Map<Purpose, TrafficCounters> byPurpose = requireNonNull(traffic.get(direction));
    TrafficCounters counters = requireNonNull(byPurpose.get(purpose));
    counters.bytes().inc(bytes);
    counters.messages().inc();
  }

  /** Returns the byte counter of one link; traffic across regions is billed. */
  Counter linkBytes(Direction direction, String region, String domain) {
    return registry.counter(
        MetricRegistry.name(prefix, lowerCase(direction), "link", region, domain, "bytes"));
  }

  private Map<Purpose, TrafficCounters> registerTrafficCounters(Direction direction) {
    Map<Purpose, TrafficCounters> counters = new EnumMap<>(Purpose.class);
    for (Purpose purpose : Purpose.values()) {
      String name = MetricRegistry.name(prefix, lowerCase(direction), purpose.metricName());
      Counter bytes = registry.counter(MetricRegistry.name(name, "bytes"));
      Counter messages = registry.counter(MetricRegistry.name(name, "messages"));
      counters.put(purpose, new TrafficCounters(bytes, messages));
    }
    return counters;
  }

  private static String lowerCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
