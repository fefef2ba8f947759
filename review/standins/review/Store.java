package review;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The platform's store, as far as hickorymoor uses it: keyed topics of an append-only log. */
final class Store {

  private static final int RECORD_BYTES = 262_144;
  private static final int CALL_BYTES = 2_097_152;
  private static final int PAGE_ITEMS = 500;
  private static final int PAGE_BYTES = 1_000_000;
  private static final int REPEATS = 5;
  private static final int LOGGED_REFUSALS = 20;
  private static final long APPEND_MS = 3;
  private static final long BYTES_PER_MS = 20_000;

  /** The newest record of a key. */
  private static final class Item {
    final byte[] value;
    final long offset;

    Item(byte[] value, long offset) {
      this.value = value;
      this.offset = offset;
    }
  }

  /** The appends of one producer to a partition. */
  private static final class Producer {
    long epoch = -1;
    long lastSequence = -1;
    final Deque<long[]> recent = new ArrayDeque<>(); // Rows of sequence, offset and end.
  }

  /** A partition of a keyed topic; its lock orders the appends. */
  private static final class Partition {
    final List<byte[]> records = new ArrayList<>();
    final NavigableMap<String, Item> newest = new TreeMap<>();
    final Map<String, Producer> producers = new HashMap<>();

    synchronized long append(List<byte[]> added) {
      long offset = records.size();
      for (byte[] content : added) {
        int keyLength = content[0] & 0xff;
        String key = new String(content, 1, keyLength, UTF_8);
        byte[] value = new byte[content.length - 1 - keyLength];
        System.arraycopy(content, 1 + keyLength, value, 0, value.length);
        if (value.length == 0) {
          newest.remove(key);
        } else {
          newest.put(key, new Item(value, records.size()));
        }
        records.add(content);
      }
      notifyAll();
      return offset;
    }
  }

  private final Record record;
  private final Map<String, Partition> partitions = new HashMap<>();
  private int port;
  private volatile int refusedAppends;

  Store(Record record) {
    this.record = record;
  }

  void start() throws IOException {
    port = Http.listen(0, this::handle).getAddress().getPort();
  }

  int port() {
    return port;
  }

  private synchronized Partition partition(String topic, String part) {
    return partitions.computeIfAbsent(topic + "/" + part, name -> new Partition());
  }

  /** Writes a record as the operator or a worker does; a null value drops the key. */
  void put(String topic, String key, String value) {
    byte[] keyBytes = key.getBytes(UTF_8);
    byte[] valueBytes = value == null ? new byte[0] : value.getBytes(UTF_8);
    byte[] content = new byte[1 + keyBytes.length + valueBytes.length];
    content[0] = (byte) keyBytes.length;
    System.arraycopy(keyBytes, 0, content, 1, keyBytes.length);
    System.arraycopy(valueBytes, 0, content, 1 + keyBytes.length, valueBytes.length);
    partition(topic, "0").append(List.of(content));
  }

  /** Returns the newest value of a key, or null if there is none. */
  String get(String topic, String part, String key) {
    Partition partition = partition(topic, part);
    synchronized (partition) {
      Item item = partition.newest.get(key);
      return item == null ? null : new String(item.value, UTF_8);
    }
  }

  private void handle(HttpExchange call) throws IOException, InterruptedException {
    Map<String, String> query = Http.query(call);
    switch (call.getRequestMethod() + " " + call.getRequestURI().getPath()) {
      case "POST /api/log-append" -> append(call, query);
      case "GET /api/log-read" -> read(call, query);
      case "GET /api/log-newest" -> newest(call, query);
      default -> Http.answer(call, 404, new JsonObject());
    }
  }

  private void append(HttpExchange call, Map<String, String> query)
      throws IOException, InterruptedException {
    byte[] body = call.getRequestBody().readAllBytes();
    String topic = query.get("topic");
    if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
      Http.answer(call, 403, new JsonObject());
      return;
    }
    List<byte[]> added = new ArrayList<>();
    ByteBuffer in = ByteBuffer.wrap(body);
    boolean tooLarge = body.length > CALL_BYTES;
    while (in.hasRemaining()) {
      byte[] content = new byte[in.getInt()];
      in.get(content);
      added.add(content);
      tooLarge |= content.length > RECORD_BYTES;
    }
    if (tooLarge) {
      if (++refusedAppends <= LOGGED_REFUSALS) {
        record.log(
            "store: refused an append of %d bytes to %s part %s, a record is over %d bytes",
            body.length, topic, query.get("part"), RECORD_BYTES);
      }
      Http.answer(call, 413, new JsonObject());
      return;
    }
    Partition partition = partition(topic, query.get("part"));
    JsonObject answer = new JsonObject();
    int status;
    synchronized (partition) {
      Thread.sleep(APPEND_MS + body.length / BYTES_PER_MS);
      status = append(partition, query, added, answer);
    }
    Http.answer(call, status, answer);
  }

  private static int append(
      Partition partition, Map<String, String> query, List<byte[]> added, JsonObject answer) {
    Producer producer = null;
    long epoch = 0;
    long sequence = 0;
    if (query.containsKey("producer")) {
      producer =
          partition.producers.computeIfAbsent(query.get("producer"), name -> new Producer());
      epoch = Long.parseLong(query.get("epoch"));
      sequence = Long.parseLong(query.get("sequence"));
      if (epoch < producer.epoch) {
        answer.addProperty("reason", "fenced");
        return 409;
      }
      if (epoch == producer.epoch && sequence != producer.lastSequence + 1) {
        for (long[] row : producer.recent) {
          if (row[0] == sequence) {
            answer.addProperty("offset", row[1]);
            answer.addProperty("end_offset", row[2]);
            return 200;
          }
        }
        answer.addProperty("reason", "seq");
        answer.addProperty("expected", producer.lastSequence + 1);
        return 409;
      }
    }
    if (query.containsKey("at") && Long.parseLong(query.get("at")) != partition.records.size()) {
      answer.addProperty("end_offset", partition.records.size());
      return 412;
    }
    long offset = partition.append(added);
    long end = partition.records.size();
    if (producer != null) {
      if (epoch > producer.epoch) {
        producer.recent.clear();
      }
      producer.epoch = epoch;
      producer.lastSequence = sequence;
      producer.recent.addLast(new long[] {sequence, offset, end});
      if (producer.recent.size() > REPEATS) {
        producer.recent.removeFirst();
      }
    }
    answer.addProperty("offset", offset);
    answer.addProperty("end_offset", end);
    return 200;
  }

  private void read(HttpExchange call, Map<String, String> query)
      throws IOException, InterruptedException {
    Partition partition = partition(query.get("topic"), query.get("part"));
    int from = Integer.parseInt(query.get("from"));
    long waitMs = Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
    int maxBytes = Integer.parseInt(query.getOrDefault("max_kb", "1024")) * 1024;
    long deadlineNs = System.nanoTime() + waitMs * 1_000_000;
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    synchronized (partition) {
      for (long leftMs = waitMs;
          leftMs > 0 && partition.records.size() <= from;
          leftMs = (deadlineNs - System.nanoTime()) / 1_000_000) {
        partition.wait(leftMs);
      }
      out.writeBytes(ByteBuffer.allocate(16).putLong(partition.records.size()).putLong(0).array());
      for (int i = from; i < partition.records.size(); i++) {
        byte[] content = partition.records.get(i);
        if (i > from && out.size() + content.length > maxBytes) {
          break;
        }
        out.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
        out.writeBytes(content);
      }
    }
    Http.answer(call, 200, out.toByteArray());
  }

  private void newest(HttpExchange call, Map<String, String> query) throws IOException {
    Partition partition = partition(query.get("topic"), query.get("part"));
    JsonArray items = new JsonArray();
    JsonObject answer = new JsonObject();
    synchronized (partition) {
      String after = query.get("after");
      var left = after == null ? partition.newest : partition.newest.tailMap(after, false);
      int bytes = 0;
      boolean hasMore = false;
      for (Map.Entry<String, Item> entry : left.entrySet()) {
        bytes += entry.getValue().value.length;
        if (items.size() == PAGE_ITEMS || (bytes > PAGE_BYTES && items.size() > 0)) {
          hasMore = true;
          break;
        }
        JsonObject item = new JsonObject();
        item.addProperty("key", entry.getKey());
        item.addProperty("value", Base64.getEncoder().encodeToString(entry.getValue().value));
        item.addProperty("offset", entry.getValue().offset);
        items.add(item);
      }
      answer.add("items", items);
      answer.addProperty("has_more", hasMore);
      answer.addProperty("end_offset", partition.records.size());
    }
    Http.answer(call, 200, answer);
  }
}
