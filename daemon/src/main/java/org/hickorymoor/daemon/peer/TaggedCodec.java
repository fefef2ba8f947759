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
 * MessagePack codec for the records of a sealed interface. A record is encoded as an array of its
 * tag, which identifies the type, followed by its fields.
 *
 * @param <T> the sealed interface
 */
final class TaggedCodec<T> {

  /** Writes the fields of a record. */
  interface Writer<R> {
    void write(MessagePacker out, R value) throws IOException;
  }

  /** Reads the fields of a record. */
  interface Reader<R> {
    R read(MessageUnpacker in) throws IOException;
  }

  private record Entry<R>(int tag, int fieldCount, Writer<R> writer, Reader<? extends R> reader) {}

  private static final MessagePack.PackerConfig PACKER =
      new MessagePack.PackerConfig().withBufferSize(512);

  private final Map<Class<?>, Entry<T>> byClass = new HashMap<>();
  private final Map<Integer, Entry<T>> byTag = new HashMap<>();

  /**
   * Registers a record type. Must not be called once the codec is in use, which is not
   * synchronized.
   *
   * @param tag identifies the record type on the wire
   * @param fieldCount number of its fields
   * @param type class of the record
   * @param writer writes its fields
   * @param reader reads its fields
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
      throw new IllegalStateException("no codec registered for " + value.getClass());
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
            "unknown tag or wrong number of fields: tag " + tag + ", array size " + size);
      }
      T value = entry.reader().read(in);
      if (in.hasNext()) {
        throw FrameException.malformed("unexpected data after the message with tag " + tag);
      }
      return value;
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw FrameException.malformed("cannot decode the message body: " + e);
    }
  }

  /** Reads an array header and checks its size. */
  static void requireArraySize(MessageUnpacker in, int wanted) throws IOException {
    int size = in.unpackArrayHeader();
    if (size != wanted) {
      throw new MessageFormatException("expected an array of size " + wanted + ", got " + size);
    }
  }
}
