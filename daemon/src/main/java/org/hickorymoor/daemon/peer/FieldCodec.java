package org.hickorymoor.daemon.peer;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.protocol.platform.LogRecord;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes field types that several messages share. */
final class FieldCodec {

  private static final int KEY_FIELDS = 2;
  private static final int RESOURCE_FIELDS = 5;
  private static final int RECORD_FIELDS = 2;
  private static final int WORKER_FIELDS = 8;

  private FieldCodec() {}

  /**
   * Writes a string that may be long, as one byte array so that the packer's buffer stays small.
   */
  static void writeLongString(MessagePacker out, String text) throws IOException {
    byte[] utf8 = text.getBytes(UTF_8);
    out.packRawStringHeader(utf8.length);
    out.writePayload(utf8);
  }

  static void writeNullableString(MessagePacker out, @Nullable String text) throws IOException {
    if (text == null) {
      out.packNil();
    } else {
      out.packString(text);
    }
  }

  static @Nullable String readNullableString(MessageUnpacker in) throws IOException {
    return in.tryUnpackNil() ? null : in.unpackString();
  }

  static <E extends Enum<E>> E readEnum(MessageUnpacker in, Class<E> type) throws IOException {
    return Enum.valueOf(type, in.unpackString());
  }

  static <V> void writeList(MessagePacker out, List<V> values, TaggedCodec.Writer<V> writer)
      throws IOException {
    out.packArrayHeader(values.size());
    for (V value : values) {
      writer.write(out, value);
    }
  }

  /** Reads a list. Allocates no memory by the declared size, which is untrusted input. */
  static <V> List<V> readList(MessageUnpacker in, TaggedCodec.Reader<V> reader) throws IOException {
    int size = in.unpackArrayHeader();
    List<V> values = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      values.add(reader.read(in));
    }
    return values;
  }

  static void writeStringList(MessagePacker out, List<String> texts) throws IOException {
    writeList(out, texts, FieldCodec::writeLongString);
  }

  static List<String> readStringList(MessageUnpacker in) throws IOException {
    return readList(in, MessageUnpacker::unpackString);
  }

  static void writeKey(MessagePacker out, RequestKey key) throws IOException {
    out.packArrayHeader(KEY_FIELDS);
    out.packString(key.team());
    out.packString(key.key());
  }

  static RequestKey readKey(MessageUnpacker in) throws IOException {
    TaggedCodec.requireArraySize(in, KEY_FIELDS);
    return new RequestKey(in.unpackString(), in.unpackString());
  }

  static void writeResources(MessagePacker out, Resources resources) throws IOException {
    out.packArrayHeader(RESOURCE_FIELDS);
    out.packInt(resources.slots());
    out.packInt(resources.connections());
    out.packInt(resources.cpuMillis());
    out.packInt(resources.memoryMb());
    out.packInt(resources.accelerators());
  }

  static Resources readResources(MessageUnpacker in) throws IOException {
    TaggedCodec.requireArraySize(in, RESOURCE_FIELDS);
    return new Resources(
        in.unpackInt(), in.unpackInt(), in.unpackInt(), in.unpackInt(), in.unpackInt());
  }

  static void writeRecord(MessagePacker out, LogRecord logRecord) throws IOException {
    out.packArrayHeader(RECORD_FIELDS);
    out.packLong(logRecord.offset());
    writeLongString(out, logRecord.data());
  }

  static LogRecord readRecord(MessageUnpacker in) throws IOException {
    TaggedCodec.requireArraySize(in, RECORD_FIELDS);
    return new LogRecord(in.unpackLong(), in.unpackString());
  }

  static void writeWorker(MessagePacker out, WorkerStatus worker) throws IOException {
    out.packArrayHeader(WORKER_FIELDS);
    out.packString(worker.workerId());
    out.packString(worker.rack());
    out.packString(worker.address());
    out.packString(worker.state());
    writeResources(out, worker.declared());
    writeResources(out, worker.learned());
    writeResources(out, worker.inUse());
    out.packInt(worker.tasks());
  }

  static WorkerStatus readWorker(MessageUnpacker in) throws IOException {
    TaggedCodec.requireArraySize(in, WORKER_FIELDS);
    return new WorkerStatus(
        in.unpackString(),
        in.unpackString(),
        in.unpackString(),
        in.unpackString(),
        readResources(in),
        readResources(in),
        readResources(in),
        in.unpackInt());
  }
}
