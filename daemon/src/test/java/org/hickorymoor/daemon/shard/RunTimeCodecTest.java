package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.Random;
import org.hickorymoor.domain.runtime.RunDescriptor;
import org.hickorymoor.domain.runtime.RunLocation;
import org.hickorymoor.domain.runtime.RunTimeModel;
import org.junit.jupiter.api.Test;

final class RunTimeCodecTest {

  private final RunTimeModel model = new RunTimeModel();

  private static RunDescriptor run(String queue, String image) {
    return new RunDescriptor(queue, image, "job", 0, 1_000);
  }

  private void train(String image, int runs) {
    for (int i = 0; i < runs; i++) {
      RunLocation location = new RunLocation("kind" + i % 3, i % 5 == 0);
      var unused = model.learnFinished(run("queue", image), location, 3_000 + 10L * i);
    }
  }

  private static RunTimeModel decoded(byte[] record) throws MalformedRecordException {
    RunTimeModel successor = new RunTimeModel();
    successor.restore(RunTimeCodec.decode(record));
    return successor;
  }

  @Test
  void successorPredictsTheSame() throws Exception {
    train("image", 60);
    RunTimeModel successor = decoded(RunTimeCodec.encode(model.state()));

    RunDescriptor next = new RunDescriptor("queue", "image", "next", 0, 2_000);
    RunLocation location = new RunLocation("kind1", true);
    assertThat(successor.predict(next, location).logMedianMs())
        .isWithin(1e-4)
        .of(model.predict(next, location).logMedianMs());
    assertThat(successor.isLearnedBetter(next)).isTrue();
  }

  // Guards against a record that grows with the number and the names of images and queues.
  @Test
  void recordStaysWithinItsLimitAndKeepsTheMostUsedImages() throws Exception {
    train("busy", 50);
    for (int i = 0; i < 600; i++) {
      RunDescriptor rare = run("queue" + i % 300, "image" + i + "x".repeat(i % 100));
      var unused = model.learnFinished(rare, RunLocation.TYPICAL, 3_000);
      if (i % 100 == 0) {
        train("busy", 1);
      }
    }
    var longNamed = model.learnFinished(run("q", "i".repeat(60_000)), RunLocation.TYPICAL, 1);
    assertThat(longNamed.hasEstimate()).isTrue();

    byte[] record = RunTimeCodec.encode(model.state());

    assertThat(record.length).isAtMost(32 * 1_024);
    assertThat(RunTimeCodec.decode(record).images().get(0).image()).isEqualTo("busy");
    assertThat(decoded(record).images()).isGreaterThan(200);
  }

  // Guards against a takeover that ends at a damaged record.
  @Test
  void damagedRecordsAreRejectedOrDecoded() throws Exception {
    train("image", 60);
    byte[] record = RunTimeCodec.encode(model.state());
    for (int length = 0; length < record.length; length++) {
      byte[] cut = Arrays.copyOf(record, length);
      assertThrows(MalformedRecordException.class, () -> RunTimeCodec.decode(cut));
    }
    Random random = new Random(23);
    for (int i = 0; i < 5_000; i++) {
      byte[] damaged = record.clone();
      damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
      try {
        double logMs =
            decoded(damaged).predict(run("queue", "image"), RunLocation.TYPICAL).logMedianMs();
        assertThat(logMs).isFinite();
      } catch (MalformedRecordException expected) {
        assertThat(expected).hasMessageThat().contains("run times");
      }
    }
  }

  // Guards against hosts of the previous version that take the record for the state of a job.
  @Test
  void recordIsNotTheProgressOfJob() {
    byte[] record = RunTimeCodec.encode(model.state());

    assertThrows(MalformedRecordException.class, () -> WorkloadCodec.decodeState(record));
  }
}
