import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * The platform's metadata store: partitions of records, conditional and numbered appends, long
 * polls, and the newest record of each key.
 */
final class Store {
  static final int RECORD_BYTES = 262_144;
  static final int CALL_BYTES = 2_097_152;
  private static final int REPEATS = 5;
  private static final int PAGE_ITEMS = 500;
  private static final int PAGE_BYTES = 1_000_000;
  private static final long ANSWER_MS = 4;
  private static final long APPEND_MS = 3;

  private record Numbered(long sequence, long offset, long end) {}

  private static final class Producer {
    long epoch;
    final Deque<Numbered> last = new ArrayDeque<>();
  }

  private record Newest(byte[] value, long offset) {}

  private static final class Part {
    /** The records; those before {@code first} are dropped. */
    final List<byte[]> records = new ArrayList<>();
    long first;
    final Map<String, Producer> producers = new HashMap<>();
    final TreeMap<String, Newest> newest = new TreeMap<>();

    long end() {
      return first + records.size();
    }
  }

  private final Map<String, Part> parts = new HashMap<>();
  private final Map<String, Object> serial = new HashMap<>();
  private final HttpServer server;
  private final Recorder recorder;
  private int rejectedRecords;

  Store(Recorder recorder) throws IOException {
    this.recorder = recorder;
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
    server.setExecutor(Executors.newCachedThreadPool(Lab::daemonThread));
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  void stop() {
    server.stop(0);
  }

  /** Returns how many appends were refused because a record was too long. */
  synchronized int rejectedRecords() {
    return rejectedRecords;
  }

  /** Writes the newest record of a key, as the operator and the workers do; null removes it. */
  void put(String topic, String key, String value) {
    byte[] k = key.getBytes(StandardCharsets.UTF_8);
    byte[] v = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
    byte[] record =
        ByteBuffer.allocate(1 + k.length + v.length).put((byte) k.length).put(k).put(v).array();
    synchronized (this) {
      add(part(topic, "0"), topic, List.of(record));
      notifyAll();
    }
  }

  /** Returns the newest value of a key; null if there is none. */
  synchronized byte[] newestValue(String topic, String part, String key) {
    Newest newest = part(topic, part).newest.get(key);
    return newest == null ? null : newest.value();
  }

  /** Adds the newest records of further keys with one value, as if written long before. */
  synchronized void addHistory(String topic, String part, List<String> keys, byte[] value) {
    Part target = part(topic, part);
    for (String key : keys) {
      target.newest.put(key, new Newest(value, 0));
    }
  }

  private Part part(String topic, String part) {
    return parts.computeIfAbsent(topic + "/" + part, unused -> new Part());
  }

  private static long add(Part part, String topic, List<byte[]> records) {
    long offset = part.end();
    for (byte[] record : records) {
      if (topic.startsWith("keyed.") && record.length > 0) {
        int length = record[0] & 0xff;
        String key = new String(record, 1, length, StandardCharsets.UTF_8);
        byte[] value = java.util.Arrays.copyOfRange(record, 1 + length, record.length);
        if (value.length == 0) {
          part.newest.remove(key);
        } else {
          part.newest.put(key, new Newest(value, part.end()));
        }
      }
      part.records.add(record);
    }
    return offset;
  }

  private void handle(HttpExchange exchange) throws IOException {
    try {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Map<String, String> query = query(exchange);
      Lab.sleep(ANSWER_MS);
      switch (exchange.getRequestURI().getPath()) {
        case "/api/log-append" -> append(exchange, query, body);
        case "/api/log-read" -> read(exchange, query);
        case "/api/log-newest" -> newest(exchange, query);
        default -> Lab.reply(exchange, 404, "{}");
      }
    } catch (IOException e) {
      exchange.close();
    } catch (RuntimeException e) {
      recorder.note("store: " + e);
      Lab.reply(exchange, 400, "{}");
    }
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    for (String pair : raw == null ? new String[0] : raw.split("&")) {
      int equals = pair.indexOf('=');
      query.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private void append(HttpExchange exchange, Map<String, String> query, byte[] body)
      throws IOException {
    String topic = query.get("topic");
    if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
      Lab.reply(exchange, 403, "{}");
      return;
    }
    List<byte[]> records = new ArrayList<>();
    ByteBuffer in = ByteBuffer.wrap(body);
    int total = 0;
    while (in.hasRemaining()) {
      byte[] record = new byte[in.getInt()];
      in.get(record);
      records.add(record);
      total += record.length;
      if (record.length > RECORD_BYTES || total > CALL_BYTES) {
        synchronized (this) {
          rejectedRecords++;
        }
        recorder.count(
            "store: append to " + topic + "/" + query.get("part") + " refused, record too long");
        Lab.reply(exchange, 400, "{\"reason\":\"record too long\"}");
        return;
      }
    }
    Object lock;
    synchronized (this) {
      lock = serial.computeIfAbsent(topic + "/" + query.get("part"), unused -> new Object());
    }
    synchronized (lock) {
      Lab.sleep(APPEND_MS);
    }
    int status = 200;
    String answer;
    synchronized (this) {
      Part part = part(topic, query.get("part"));
      Producer producer =
          query.containsKey("producer")
              ? part.producers.computeIfAbsent(query.get("producer"), unused -> new Producer())
              : null;
      long epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
      long sequence = Long.parseLong(query.getOrDefault("sequence", "0"));
      Numbered repeat = null;
      if (producer != null && producer.epoch == epoch) {
        for (Numbered earlier : producer.last) {
          repeat = earlier.sequence() == sequence ? earlier : repeat;
        }
      }
      if (producer != null && epoch < producer.epoch) {
        status = 409;
        answer = "{\"reason\":\"fenced\"}";
      } else if (repeat != null) {
        answer = "{\"offset\":" + repeat.offset() + ",\"end_offset\":" + repeat.end() + "}";
      } else if (producer != null
          && epoch == producer.epoch
          && !producer.last.isEmpty()
          && sequence != producer.last.getLast().sequence() + 1) {
        status = 409;
        answer =
            "{\"reason\":\"seq\",\"expected\":" + (producer.last.getLast().sequence() + 1) + "}";
      } else if (query.containsKey("at") && Long.parseLong(query.get("at")) != part.end()) {
        status = 412;
        answer = "{\"end_offset\":" + part.end() + "}";
      } else {
        long offset = add(part, topic, records);
        if (producer != null) {
          if (epoch > producer.epoch) {
            producer.last.clear();
          }
          producer.epoch = epoch;
          producer.last.addLast(new Numbered(sequence, offset, part.end()));
          if (producer.last.size() > REPEATS) {
            producer.last.removeFirst();
          }
        }
        answer = "{\"offset\":" + offset + ",\"end_offset\":" + part.end() + "}";
        notifyAll();
      }
    }
    Lab.reply(exchange, status, answer);
  }

  private void read(HttpExchange exchange, Map<String, String> query) throws IOException {
    long from = Long.parseLong(query.get("from"));
    long untilNs = System.nanoTime() + 1_000_000 * Long.parseLong(query.getOrDefault("wait_ms", "0"));
    long maxBytes = 1024 * Long.parseLong(query.getOrDefault("max_kb", "1024"));
    java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
    java.io.DataOutputStream data = new java.io.DataOutputStream(out);
    synchronized (this) {
      Part part = part(query.get("topic"), query.get("part"));
      while (part.end() <= from && System.nanoTime() < untilNs) {
        Lab.await(this, Math.max(1, (untilNs - System.nanoTime()) / 1_000_000));
      }
      data.writeLong(part.end());
      data.writeLong(part.first);
      for (long offset = from; offset < part.end() && out.size() < maxBytes; offset++) {
        byte[] record = part.records.get((int) (offset - part.first));
        if (out.size() > 16 && out.size() + 4 + record.length > maxBytes) {
          break;
        }
        data.writeInt(record.length);
        data.write(record);
      }
    }
    Lab.reply(exchange, 200, out.toByteArray());
  }

  private void newest(HttpExchange exchange, Map<String, String> query) throws IOException {
    StringBuilder items = new StringBuilder();
    boolean more = false;
    long end;
    synchronized (this) {
      Part part = part(query.get("topic"), query.get("part"));
      end = part.end();
      String after = query.get("after");
      int count = 0;
      for (var entry :
          (after == null ? part.newest : part.newest.tailMap(after, false)).entrySet()) {
        if (count == PAGE_ITEMS || items.length() > PAGE_BYTES) {
          more = true;
          break;
        }
        items.append(count++ == 0 ? "" : ",");
        items
            .append("{\"key\":\"")
            .append(entry.getKey())
            .append("\",\"value\":\"")
            .append(Base64.getEncoder().encodeToString(entry.getValue().value()))
            .append("\",\"offset\":")
            .append(entry.getValue().offset())
            .append("}");
      }
    }
    Lab.reply(
        exchange,
        200,
        "{\"items\":[" + items + "],\"has_more\":" + more + ",\"end_offset\":" + end + "}");
  }
}
