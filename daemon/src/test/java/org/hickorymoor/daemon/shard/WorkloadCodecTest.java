package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.customer.CustomerPolicy;
import org.hickorymoor.domain.workload.ApprovalPolicy;
import org.hickorymoor.domain.workload.CrashEvidence;
import org.hickorymoor.domain.workload.CrashTolerance;
import org.hickorymoor.domain.workload.JobProgress;
import org.hickorymoor.domain.workload.QueuePolicy;
import org.hickorymoor.domain.workload.StepSpec;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.TaskProgress;
import org.hickorymoor.domain.workload.TerminationReason;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.hickorymoor.domain.workload.WorkloadState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class WorkloadCodecTest {

  private static final Submission SUBMISSION =
      new Submission(
          "job",
          77,
          new QueuePolicy("q", "pool", 2, 3, 1.5, 600, new ApprovalPolicy(30.5, 0.3, 2_500)),
          new WorkloadSpec(
              "text ผ้า",
              List.of(step(2, List.of(), true, false), step(3, List.of(0), false, true)),
              4,
              1_000,
              500));

  private static StepSpec step(int count, List<Integer> after, boolean gang, boolean bestEffort) {
    return new StepSpec(
        count,
        1,
        2,
        3,
        4,
        after,
        true,
        gang,
        gang,
        gang ? "label" : null,
        bestEffort ? "r1" : null,
        5,
        bestEffort,
        gang,
        "image",
        6,
        bestEffort,
        7);
  }

  @Test
  void submissionSurvivesRoundTrip() throws MalformedRecordException {
    assertThat(WorkloadCodec.decodeSubmission(WorkloadCodec.encode(SUBMISSION)))
        .isEqualTo(SUBMISSION);
  }

  /** Guards against customers that are lost at a takeover, and against unreadable old records. */
  @Test
  void customerFollowsAllFieldsOfEarlierVersions() throws MalformedRecordException {
    Submission withCustomer =
        new Submission(
            "job",
            77,
            SUBMISSION.policy(),
            SUBMISSION.spec(),
            new CustomerPolicy("ผ้า", 2.5, new Resources(0, 0, 4_000, 9_000, 2)));
    byte[] record = WorkloadCodec.encode(withCustomer);
    byte[] earlier = WorkloadCodec.encode(SUBMISSION);

    assertThat(WorkloadCodec.decodeSubmission(record)).isEqualTo(withCustomer);
    assertThat(Arrays.copyOf(record, earlier.length)).isEqualTo(earlier);
  }

  @Test
  void progressOfEveryPlacedTaskSurvivesRoundTrip() throws MalformedRecordException {
    JobProgress job = new JobProgress(SUBMISSION);
    job.startDueOccurrences(1_600);
    TaskProgress placed = job.steps(1).get(1).tasks().get(2);
    placed.place("w1", 4);
    placed.saveCheckpoint("c9");
    TaskProgress failed = job.steps(0).get(1).tasks().get(0);
    failed.place("w2", 1);
    job.recordRunEnd(failed, TerminationReason.FAILED, "");
    CrashTolerance tolerance = new CrashTolerance();
    job.recordWorkerCrash(placed, 3, CrashEvidence.UNCERTAIN, tolerance, 0);
    job.recordWorkerCrash(placed, 4, CrashEvidence.IMMEDIATE, tolerance, 0);
    job.markRunning();

    JobProgress restored = new JobProgress(SUBMISSION);
    WorkloadCodec.restore(restored, WorkloadCodec.encodeProgress(job));

    assertThat(restored.state()).isEqualTo(WorkloadState.RUNNING);
    TaskProgress again = restored.steps(1).get(1).tasks().get(2);
    assertThat(again.phase()).isEqualTo(TaskProgress.Phase.PLACED);
    assertThat(again.workerId()).isEqualTo("w1");
    assertThat(again.run()).isEqualTo(4);
    assertThat(again.checkpoint()).isEqualTo("c9");
    assertThat(again.suspectedCrashes()).isEqualTo(2);
    assertThat(again.confirmedCrashes()).isEqualTo(1);
    assertThat(again.crashWeight()).isEqualTo(placed.crashWeight());
    assertThat(restored.steps(0).get(1).tasks().get(0).failures()).isEqualTo(1);
  }

  /**
   * Reads a record as earlier versions wrote it.
   *
   * @param missingLists empty lists at the end, of one byte each, that the version didn't write:
   *     the weights of crashes, and before them the crashes
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void progressOfEarlierVersionsIsRead(int missingLists) throws MalformedRecordException {
    JobProgress job = new JobProgress(SUBMISSION);
    job.startDueOccurrences(1_600);
    job.steps(1).get(1).tasks().get(2).place("w1", 4);
    byte[] record = WorkloadCodec.encodeProgress(job);
    byte[] earlier = Arrays.copyOf(record, record.length - missingLists);

    JobProgress restored = new JobProgress(SUBMISSION);
    WorkloadCodec.restore(restored, earlier);

    assertThat(restored.steps(1).get(1).tasks().get(2).run()).isEqualTo(4);
  }

  @Test
  void truncatedRecordsAndOtherFormatVersionsAreRejected() {
    byte[] record = WorkloadCodec.encode(SUBMISSION);
    for (int length = 0; length < record.length; length++) {
      byte[] truncated = Arrays.copyOf(record, length);
      assertThrows(MalformedRecordException.class, () -> WorkloadCodec.decodeSubmission(truncated));
    }
    byte[] newer = record.clone();
    newer[0] = 9;
    assertThrows(MalformedRecordException.class, () -> WorkloadCodec.decodeSubmission(newer));
  }

  @Test
  void corruptRecordsAreDecodedOrRejectedWithMalformedRecordException() {
    JobProgress job = new JobProgress(SUBMISSION);
    job.startDueOccurrences(1_600);
    job.steps(1).get(1).tasks().get(2).place("w1", 4);
    job.markRunning();
    byte[] progress = WorkloadCodec.encodeProgress(job);
    byte[] submission = WorkloadCodec.encode(SUBMISSION);

    for (int value = 0; value < 256; value += 3) {
      for (int at = 0; at < progress.length; at++) {
        byte[] corrupted = corrupt(progress, at, value);
        decodeOrReject(() -> WorkloadCodec.restore(new JobProgress(SUBMISSION), corrupted));
      }
      for (int at = 0; at < submission.length; at++) {
        byte[] corrupted = corrupt(submission, at, value);
        decodeOrReject(() -> WorkloadCodec.decodeSubmission(corrupted));
      }
    }
  }

  private static byte[] corrupt(byte[] record, int at, int value) {
    byte[] corrupted = record.clone();
    corrupted[at] = (byte) value;
    return corrupted;
  }

  private interface Decoding {
    void run() throws MalformedRecordException;
  }

  private static void decodeOrReject(Decoding decoding) {
    try {
      decoding.run();
    } catch (MalformedRecordException e) {
      assertThat(e).hasMessageThat().isNotEmpty();
    }
  }
}
