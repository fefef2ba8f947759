package review3;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform's store, in its form as a log. It keeps the whole history, answers at
 * once and refuses what PROTOCOL.md says that it does not take.
 */
final class Store {

  /** {@code record_bytes} and {@code call_bytes} of the settings in DEPLOY.md. */
  static final int RECORD_BYTES = 262_144;

  static final int CALL_BYTES = 2_097_152;
  private static final int MAX_ITEMS = 500;
  private static final int MAX_PAGE_BYTES = 1_000_000;

  /** The newest record of a key. */
  record Newest(long offset, byte[] value) {}

  /** One partition. */
  private static final class Partition {
    final List<byte[]> records = new ArrayList<>();
    final TreeMap<String, Newest> newest = new TreeMap<>();
    final Map<String, Long> epochs = new HashMap<>();
    final Map<String, Long> sequences = new HashMap<>();

    /** Answers to the latest appends of a producer, by sequence number. */
    final Map<String, LinkedHashMap<Long, Long>> answers = new HashMap<>();

    long end() {
      return records.size();
    }

    void add(byte[] content, boolean keyed) {
      long offset = end();
      records.add(content);
      if (keyed) {
        int keyLength = content[0] & 0xff;
        String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(content, 1 + keyLength, content.length);
        if (value.length == 0) {
          newest.remove(key);
        } else {
          newest.put(key, new Newest(offset, value));
        }
      }
    }
  }

  private final Map<String, Partition> partitions = new HashMap<>();

  /** Decides how late an append is done, without an answer; 0 for at once and with one. */
  interface LateWrites {
    long lateMs(String topic, String part, List<byte[]> records);
  }

  volatile LateWrites lateWrites = (topic, part, records) -> 0;

  private Partition partition(String topic, String part) {
    synchronized (partitions) {
      return partitions.computeIfAbsent(topic + "/" + part, absent -> new Partition());
    }
  }

  /** Writes a keyed record as the operator or a worker does. */
  void put(String topic, int part, String key, byte[] value) {
    Partition partition = partition(topic, Integer.toString(part));
    synchronized (partition) {
      partition.add(content(key, value), true);
      partition.notifyAll();
    }
  }

  private static byte[] content(String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(1 + name.length + value.length)
        .put((byte) name.length)
        .put(name)
        .put(value)
        .array();
  }

  /** Returns the newest value of a key, or null. */
  byte[] get(String topic, int part, String key) {
    Partition partition = partition(topic, Integer.toString(part));
    synchronized (partition) {
      Newest found = partition.newest.get(key);
      return found == null ? null : found.value();
    }
  }

  void handle(HttpExchange exchange) throws IOException {
    Map<String, String> query = Lab.query(exchange);
    Partition partition = partition(query.get("topic"), query.get("part"));
    boolean keyed = String.valueOf(query.get("topic")).startsWith("keyed.");
    switch (exchange.getRequestURI().getPath()) {
      case "/api/log-append" -> append(exchange, query, partition, keyed);
      case "/api/log-read" -> read(exchange, query, partition);
      case "/api/log-newest" -> newest(exchange, query, partition);
      default -> Lab.answer(exchange, 400, "{}");
    }
  }

  private void append(
      HttpExchange exchange, Map<String, String> query, Partition partition, boolean keyed)
      throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    List<byte[]> records = new ArrayList<>();
    ByteBuffer in = ByteBuffer.wrap(body);
    int total = 0;
    while (in.hasRemaining()) {
      byte[] record = new byte[in.getInt()];
      in.get(record);
      records.add(record);
      total += record.length;
      if (record.length > RECORD_BYTES) {
        Lab.answer(exchange, 400, "{\"reason\":\"record_bytes\"}");
        return;
      }
    }
    if (total > CALL_BYTES) {
      Lab.answer(exchange, 400, "{\"reason\":\"call_bytes\"}");
      return;
    }
    long lateMs = lateWrites.lateMs(query.get("topic"), query.get("part"), records);
    if (lateMs > 0) {
      if (query.containsKey("producer") || query.containsKey("at")) {
        throw new IllegalStateException("only writes without a condition are done late");
      }
      Lab.sleep(lateMs);
      synchronized (partition) {
        records.forEach(record -> partition.add(record, keyed));
        partition.notifyAll();
      }
      exchange.close();
      return;
    }
    int status = 200;
    String answer;
    synchronized (partition) {
      String producer = query.get("producer");
      String at = query.get("at");
      Long known = null;
      if (producer != null) {
        long epoch = Long.parseLong(query.get("epoch"));
        long sequence = Long.parseLong(query.get("sequence"));
        long seen = partition.epochs.getOrDefault(producer, -1L);
        if (epoch < seen) {
          Lab.answer(exchange, 409, "{\"reason\":\"fenced\"}");
          return;
        }
        LinkedHashMap<Long, Long> last =
            partition.answers.computeIfAbsent(producer, absent -> new LinkedHashMap<>());
        if (epoch == seen) {
          known = last.get(sequence);
          long expected = partition.sequences.get(producer) + 1;
          if (known == null && sequence != expected) {
            Lab.answer(exchange, 409, "{\"reason\":\"seq\",\"sequence\":" + expected + "}");
            return;
          }
        }
        if (known == null) {
          if (at != null && Long.parseLong(at) != partition.end()) {
            Lab.answer(exchange, 412, "{\"end_offset\":" + partition.end() + "}");
            return;
          }
          if (epoch > seen) {
            last.clear();
          }
          partition.epochs.put(producer, epoch);
          partition.sequences.put(producer, sequence);
          last.put(sequence, partition.end());
          if (last.size() > 5) {
            last.remove(last.keySet().iterator().next());
          }
        }
      } else if (at != null && Long.parseLong(at) != partition.end()) {
        Lab.answer(exchange, 412, "{\"end_offset\":" + partition.end() + "}");
        return;
      }
      long offset = known == null ? partition.end() : known;
      if (known == null) {
        records.forEach(record -> partition.add(record, keyed));
        partition.notifyAll();
      }
      answer = "{\"offset\":" + offset + ",\"end_offset\":" + (offset + records.size()) + "}";
    }
    Lab.answer(exchange, status, answer);
  }

  private void read(HttpExchange exchange, Map<String, String> query, Partition partition)
      throws IOException {
    long from = Long.parseLong(query.get("from"));
    long maxBytes = Long.parseLong(query.getOrDefault("max_kb", "1024")) * 1024;
    long untilNs =
        System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    synchronized (partition) {
      while (partition.end() <= from && untilNs - System.nanoTime() > 0) {
        try {
          partition.wait(Math.max(1, (untilNs - System.nanoTime()) / 1_000_000));
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return;
        }
      }
      out.writeBytes(
          ByteBuffer.allocate(16).putLong(partition.end()).putLong(0).array());
      for (long next = from; next < partition.end() && out.size() < maxBytes; next++) {
        byte[] record = partition.records.get((int) next);
        out.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
        out.writeBytes(record);
      }
    }
    Lab.answer(exchange, 200, out.toByteArray());
  }

  private void newest(HttpExchange exchange, Map<String, String> query, Partition partition)
      throws IOException {
    JsonObject page = new JsonObject();
    JsonArray items = new JsonArray();
    synchronized (partition) {
      String after = query.get("after");
      Map<String, Newest> rest =
          after == null ? partition.newest : partition.newest.tailMap(after, false);
      int bytes = 0;
      boolean more = false;
      for (Map.Entry<String, Newest> entry : rest.entrySet()) {
        if (items.size() == MAX_ITEMS || bytes > MAX_PAGE_BYTES) {
          more = true;
          break;
        }
        JsonObject item = new JsonObject();
        item.addProperty("key", entry.getKey());
        item.addProperty(
            "value", Base64.getEncoder().encodeToString(entry.getValue().value()));
        item.addProperty("offset", entry.getValue().offset());
        items.add(item);
        bytes += entry.getValue().value().length;
      }
      page.add("items", items);
      page.addProperty("has_more", more);
      page.addProperty("end_offset", partition.end());
    }
    Lab.answer(exchange, 200, page.toString());
  }
}
