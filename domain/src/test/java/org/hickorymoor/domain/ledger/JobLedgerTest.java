package org.hickorymoor.domain.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.domain.job.Spread;
import org.hickorymoor.domain.job.TaskId;
import org.junit.jupiter.api.Test;

final class JobLedgerTest {

  private static final TaskId FIRST = new TaskId("j", 0, 1);
  private static final JobSpec SPEC =
      new JobSpec(
          new RequestKey("team", "key"),
          "plates",
          JobKind.BATCH,
          JobClass.NORMAL,
          1,
          new Resources(1, 1, 100, 64, 0),
          0,
          "",
          false,
          Spread.NONE,
          0,
          null);

  private final JobLedger ledger = new JobLedger(10);

  @Test
  void placementOfSupersededTermIsVoid() {
    ledger.apply(new LedgerEntry.TermStarted("a", "a1"));
    ledger.apply(new LedgerEntry.Accepted("j", SPEC, 0));
    ledger.apply(new LedgerEntry.TermStarted("b", "b1"));

    ledger.apply(new LedgerEntry.Placed(FIRST, "j/0/1~x", "w1", "i1", "a1"));

    assertThat(ledger.isCurrentPlacement(FIRST, "a1")).isFalse();
  }

  @Test
  void placementOfCurrentTermIsValid() {
    ledger.apply(new LedgerEntry.TermStarted("a", "a1"));
    ledger.apply(new LedgerEntry.Accepted("j", SPEC, 0));

    ledger.apply(new LedgerEntry.Placed(FIRST, "j/0/1~x", "w1", "i1", "a1"));

    assertThat(ledger.isCurrentPlacement(FIRST, "a1")).isTrue();
  }

  @Test
  void snapshotRestoresOpenPlacement() {
    ledger.apply(new LedgerEntry.TermStarted("a", "a1"));
    ledger.apply(new LedgerEntry.Accepted("j", SPEC, 0));
    ledger.apply(new LedgerEntry.Placed(FIRST, "j/0/1~x", "w1", "i1", "a1"));

    JobLedger fresh = new JobLedger(10);
    fresh.apply(new LedgerEntry.TermStarted("a", "a1"));
    ledger.snapshot(1).forEach(fresh::apply);

    assertThat(fresh.find("j").orElseThrow().openPlacement(0))
        .isEqualTo(ledger.find("j").orElseThrow().openPlacement(0));
  }

  @Test
  void evictsOldestFinishedJobsOnly() {
    JobLedger small = new JobLedger(1);
    for (String jobId : new String[] {"j1", "j2", "open"}) {
      small.apply(new LedgerEntry.Accepted(jobId, SPEC, 0));
    }
    for (String jobId : new String[] {"j1", "j2"}) {
      small.apply(new LedgerEntry.Finished(jobId, JobState.DONE, Reason.NONE, 0));
    }

    assertThat(small.jobs().stream().map(LedgerJob::jobId)).containsExactly("j2", "open");
    assertThat(small.wasEvicted("j1")).isTrue();
    assertThat(small.wasEvicted("never")).isFalse();
  }

  @Test
  void snapshotRestoresThatEvictedJobHasFinished() {
    JobLedger small = new JobLedger(1);
    for (String jobId : new String[] {"j1", "j2"}) {
      small.apply(new LedgerEntry.Accepted(jobId, SPEC, 0));
      small.apply(new LedgerEntry.Finished(jobId, JobState.DONE, Reason.NONE, 0));
    }

    JobLedger fresh = new JobLedger(10);
    small.snapshot(1).forEach(fresh::apply);

    assertThat(fresh.wasEvicted("j1")).isTrue();
    assertThat(fresh.wasEvicted("j2")).isFalse();
  }

  @Test
  void evictedJobIsForgottenWithItsClaim() {
    JobLedger small = new JobLedger(1);
    for (String jobId : new String[] {"j1", "j2", "j3"}) {
      small.apply(new LedgerEntry.Accepted(jobId, SPEC, 0));
      small.apply(new LedgerEntry.Finished(jobId, JobState.DONE, Reason.NONE, 0));
    }

    small.retainEvicted(Set.of("j2"));

    assertThat(small.wasEvicted("j1")).isFalse();
    assertThat(small.wasEvicted("j2")).isTrue();
  }
}
