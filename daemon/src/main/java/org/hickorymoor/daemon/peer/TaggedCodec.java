package org.hickorymoor.daemon.peer;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageFormatException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Packs the records of a sealed interface, each as an array of its tag and its fields.
 *
 * @param <T> the sealed interface
 */
final class TaggedCodec<T> {

  /** Packs the fields of a record. */
  interface Writer<R> {
    void write(MessagePacker out, R value) throws IOException;
  }

  /** Unpacks the fields of a record. */
  interface Reader<R> {
    R read(MessageUnpacker in) throws IOException;
  }

  private record Entry<R>(int tag, int fieldCount, Writer<R> writer, Reader<? extends R> reader) {}

  private static final MessagePack.PackerConfig PACKER =
      new MessagePack.PackerConfig().withBufferSize(512);

  private final Map<Class<?>, Entry<T>> byClass = new HashMap<>();
  private final Map<Integer, Entry<T>> byTag = new HashMap<>();

  /**
   * Adds a record; only while the codec is set up.
   *
   * @param tag what tells the record from others on the wire
   * @param fieldCount number of its fields
   * @param type class of the record
   * @param writer packs its fields
   * @param reader unpacks its fields
   * @return this codec
   */
  <R extends T> TaggedCodec<T> add(
      int tag, int fieldCount, Class<R> type, Writer<R> writer, Reader<R> reader) {
    Writer<T> cast = (out, value) -> writer.write(out, type.cast(value));
    Entry<T> entry = new Entry<>(tag, fieldCount, cast, reader);
    byClass.put(type, entry);
    byTag.put(tag, entry);
    return this;
  }

  byte[] encode(T value) {
    Entry<T> entry = byClass.get(value.getClass());
    if (entry == null) {
      throw new IllegalStateException("expected a codec for " + value.getClass());
    }
    try (MessageBufferPacker out = PACKER.newBufferPacker()) {
      out.packArrayHeader(entry.fieldCount() + 1);
      out.packInt(entry.tag());
      entry.writer().write(out, value);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("packing into memory does no I/O", e);
    }
  }

  T decode(byte[] packed) throws FrameException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(packed)) {
      int size = in.unpackArrayHeader();
      int tag = in.unpackInt();
      Entry<T> entry = byTag.get(tag);
      if (entry == null || size != entry.fieldCount() + 1) {
        throw FrameException.malformed(
            "expected a known tag and its fields, got tag " + tag + " size " + size);
      }
      T value = entry.reader().read(in);
      if (in.hasNext()) {
        throw FrameException.malformed("expected the end of the body, got more after tag " + tag);
      }
      return value;
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw FrameException.malformed("expected a readable body: " + e);
    }
  }

  /** Checks the size of a nested array. */
  static void requireArraySize(MessageUnpacker in, int wanted) throws IOException {
    int size = in.unpackArrayHeader();
    if (size != wanted) {
      throw new MessageFormatException("expected an array of " + wanted + ", got " + size);
    }
  }
}
