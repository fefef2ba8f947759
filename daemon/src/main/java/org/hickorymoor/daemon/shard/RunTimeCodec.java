package org.hickorymoor.daemon.shard;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorymoor.domain.runtime.DecayedMean;
import org.hickorymoor.domain.runtime.EstimateComparison;
import org.hickorymoor.domain.runtime.LogMoments;
import org.hickorymoor.domain.runtime.RunTimeState;
import org.hickorymoor.domain.runtime.RunTimeState.ImageState;
import org.hickorymoor.domain.runtime.RunTimeState.Level;
import org.hickorymoor.domain.runtime.RunTimeState.LocationFactors;
import org.hickorymoor.domain.runtime.RunTimeState.QueueState;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes what has been learned of run times for the ledger. */
final class RunTimeCodec {

  /** Maximum length of a record; the store takes 256 KiB, and the record is written often. */
  static final int MAX_BYTES = 32_768;

  /**
   * Differs from the format of progress records, so that hosts of the previous version don't take
   * the record for the progress of a job.
   */
  private static final int FORMAT = 1_001;

  /** Leaves most of the record to images. */
  private static final int MAX_QUEUE_BYTES = MAX_BYTES / 4;

  /** A longer name would take the place of many images. */
  private static final int MAX_ITEM_BYTES = 512;

  /** Writes one item of a list, or a whole record. */
  @FunctionalInterface
  private interface Body {
    void write(MessagePacker out) throws IOException;
  }

  private RunTimeCodec() {}

  /** Encodes a state with as many images as fit, those with the most samples first. */
  static byte[] encode(RunTimeState state) {
    byte[] general =
        pack(
            out -> {
              out.packInt(FORMAT);
              writeLevel(out, state.all());
              writeFactors(out, state.factors());
            });
    List<byte[]> queues = new ArrayList<>();
    for (QueueState queue : state.queues()) {
      queues.add(pack(out -> writeQueue(out, queue)));
    }
    List<byte[]> images = new ArrayList<>();
    state.images().stream()
        .sorted(Comparator.comparingDouble(RunTimeCodec::samples).reversed())
        .forEach(image -> images.add(pack(out -> writeImage(out, image))));
    byte[] packedQueues = packList(queues, MAX_QUEUE_BYTES);
    byte[] packedImages = packList(images, MAX_BYTES - general.length - packedQueues.length);
    return pack(
        out -> {
          out.writePayload(general);
          out.writePayload(packedQueues);
          out.writePayload(packedImages);
        });
  }

  private static double samples(ImageState image) {
    return image.level().estimated().weight() + image.level().unestimated().weight();
  }

  private static byte[] packList(List<byte[]> items, int maxBytes) {
    List<byte[]> kept = new ArrayList<>();
    int bytes = Integer.BYTES + 1;
    for (byte[] item : items) {
      if (item.length <= MAX_ITEM_BYTES && bytes + item.length <= maxBytes) {
        kept.add(item);
        bytes += item.length;
      }
    }
    return pack(
        out -> {
          out.packArrayHeader(kept.size());
          for (byte[] item : kept) {
            out.writePayload(item);
          }
        });
  }

  private static void writeLevel(MessagePacker out, Level level) throws IOException {
    writeMoments(out, level.estimated());
    writeMoments(out, level.unestimated());
  }

  private static void writeMoments(MessagePacker out, LogMoments moments) throws IOException {
    if (moments.weight() == 0) {
      out.packNil();
      return;
    }
    out.packFloat((float) moments.weight());
    out.packFloat((float) moments.meanX());
    out.packFloat((float) moments.meanY());
    out.packFloat((float) moments.sumXx());
    out.packFloat((float) moments.sumXy());
    out.packFloat((float) moments.sumYy());
  }

  private static void writeMean(MessagePacker out, DecayedMean mean) throws IOException {
    out.packFloat((float) mean.weight());
    out.packFloat((float) mean.mean());
  }

  private static void writeFactors(MessagePacker out, LocationFactors factors) throws IOException {
    writeMean(out, factors.local());
    writeMean(out, factors.remote());
    List<byte[]> kinds = new ArrayList<>();
    factors
        .kinds()
        .forEach(
            (kind, mean) ->
                kinds.add(
                    pack(
                        item -> {
                          item.packString(kind);
                          writeMean(item, mean);
                        })));
    out.writePayload(packList(kinds, MAX_QUEUE_BYTES));
  }

  private static void writeQueue(MessagePacker out, QueueState queue) throws IOException {
    out.packString(queue.queue());
    writeLevel(out, queue.level());
    EstimateComparison comparison = queue.comparison();
    out.packInt(comparison.finished());
    out.packInt(comparison.compared());
    writeMean(out, comparison.learned());
    writeMean(out, comparison.declared());
    writeMean(out, comparison.scaled());
    writeMean(out, queue.stepCorrelation());
  }

  private static void writeImage(MessagePacker out, ImageState image) throws IOException {
    out.packString(image.queue());
    out.packString(image.image());
    writeLevel(out, image.level());
  }

  private static byte[] pack(Body body) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      body.write(out);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("packing into memory failed with an I/O error", e);
    }
  }

  /** Decodes a record; fields that newer hosts may append are ignored. */
  static RunTimeState decode(byte[] packed) throws MalformedRecordException {
    if (packed.length > MAX_BYTES) {
      throw new MalformedRecordException(
          "expected at most " + MAX_BYTES + " bytes of run times, got " + packed.length, null);
    }
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(packed)) {
      int format = in.unpackInt();
      if (format != FORMAT) {
        throw new MalformedRecordException(
            "expected run times in format " + FORMAT + ", got " + format, null);
      }
      Level all = readLevel(in);
      LocationFactors factors = readFactors(in);
      List<QueueState> queues = new ArrayList<>();
      int queueCount = in.unpackArrayHeader();
      for (int i = 0; i < queueCount; i++) {
        queues.add(readQueue(in));
      }
      List<ImageState> images = new ArrayList<>();
      int imageCount = in.unpackArrayHeader();
      for (int i = 0; i < imageCount; i++) {
        images.add(new ImageState(in.unpackString(), in.unpackString(), readLevel(in)));
      }
      return new RunTimeState(all, queues, images, factors);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new MalformedRecordException("run times", e);
    }
  }

  private static Level readLevel(MessageUnpacker in) throws IOException {
    return new Level(readMoments(in), readMoments(in));
  }

  private static LogMoments readMoments(MessageUnpacker in) throws IOException {
    if (in.tryUnpackNil()) {
      return LogMoments.EMPTY;
    }
    return new LogMoments(
        in.unpackFloat(),
        in.unpackFloat(),
        in.unpackFloat(),
        in.unpackFloat(),
        in.unpackFloat(),
        in.unpackFloat());
  }

  private static DecayedMean readMean(MessageUnpacker in) throws IOException {
    return new DecayedMean(in.unpackFloat(), in.unpackFloat());
  }

  private static LocationFactors readFactors(MessageUnpacker in) throws IOException {
    final DecayedMean local = readMean(in);
    final DecayedMean remote = readMean(in);
    Map<String, DecayedMean> kinds = new HashMap<>();
    int kindCount = in.unpackArrayHeader();
    for (int i = 0; i < kindCount; i++) {
      kinds.put(in.unpackString(), readMean(in));
    }
    return new LocationFactors(kinds, local, remote);
  }

  private static QueueState readQueue(MessageUnpacker in) throws IOException {
    String name = in.unpackString();
    Level level = readLevel(in);
    EstimateComparison comparison =
        new EstimateComparison(
            in.unpackInt(), in.unpackInt(), readMean(in), readMean(in), readMean(in));
    return new QueueState(name, level, comparison, readMean(in));
  }
}
