package org.hickorymoor.daemon.entry;

import static com.google.common.truth.Truth.assertThat;
import static java.util.concurrent.CompletableFuture.completedFuture;
import static java.util.concurrent.CompletableFuture.failedFuture;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.daemon.peer.PeerErrorType;
import org.hickorymoor.daemon.peer.PeerException;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobClass;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.domain.job.Spread;
import org.hickorymoor.domain.job.TaskStatus;
import org.junit.jupiter.api.Test;

/** Guards against telling a caller that a job was not run when it may have been. */
final class JobServiceTest {

  private static final RequestKey KEY = new RequestKey("team", "key");
  private static final JobSpec AT_MOST_ONCE =
      new JobSpec(
          KEY,
          "plate",
          JobKind.BATCH,
          JobClass.NORMAL,
          1,
          new Resources(1, 0, 100, 64, 0),
          0,
          "{}",
          false,
          Spread.NONE,
          0,
          null);

  private final Deque<CompletableFuture<PeerReply>> replies = new ArrayDeque<>();

  @Test
  void jobThatFailedInsideCoordinatorIsInDoubt() {
    replies.add(refused(PeerErrorType.INTERNAL));

    assertThat(submit().state()).isEqualTo(JobState.IN_DOUBT);
  }

  @Test
  void jobRefusedWithoutLogAfterLostReplyIsInDoubt() {
    replies.add(failedFuture(new PeerException(PeerException.Type.NO_RESPONSE, "timed out")));
    replies.add(answered(JobState.NOT_RUN, ReasonType.LOG_UNAVAILABLE));

    assertThat(submit().state()).isEqualTo(JobState.IN_DOUBT);
  }

  @Test
  void jobRefusedByFirstCoordinatorThatReceivedItIsNotRun() {
    replies.add(refused(PeerErrorType.NOT_COORDINATOR));
    replies.add(failedFuture(new PeerException(PeerException.Type.UNREACHABLE, "refused")));
    replies.add(answered(JobState.NOT_RUN, ReasonType.LOG_UNAVAILABLE));

    assertThat(submit().state()).isEqualTo(JobState.NOT_RUN);
  }

  @Test
  void jobCancelledAtSuccessorThatKnowsItIsNotRun() {
    replies.add(failedFuture(new PeerException(PeerException.Type.NO_RESPONSE, "timed out")));
    replies.add(answered(JobState.NOT_RUN, ReasonType.CANCELLED));

    assertThat(submit().state()).isEqualTo(JobState.NOT_RUN);
  }

  private JobAnswer submit() {
    PeerDirectory directory =
        new PeerDirectory() {
          @Override
          public Optional<String> coordinatorAddress() {
            return Optional.of("127.0.0.1:1");
          }

          @Override
          public Optional<String> entryAddressIn(String domain) {
            return Optional.empty();
          }

          @Override
          public boolean isDomainEntryHost(String hostId) {
            return false;
          }
        };
    Router router =
        new Router(
            "kano",
            directory,
            request -> failedFuture(new AssertionError("not the coordinator")),
            (address, request, timeoutMs) -> replies.removeFirst(),
            () -> 0,
            new SplittableRandom(1));
    return new JobService("e1", "i1", "kano", router).submit(AT_MOST_ONCE, 1_000).join();
  }

  private static CompletableFuture<PeerReply> refused(PeerErrorType type) {
    return completedFuture(new PeerReply.Refused(type, "refused"));
  }

  private static CompletableFuture<PeerReply> answered(JobState state, ReasonType type) {
    TaskStatus task = new TaskStatus(0, state, null, 0, 0, "");
    Reason reason = new Reason(type, "reason");
    return completedFuture(
        new PeerReply.JobReply(new JobAnswer(KEY, "j1", state, reason, 0, List.of(task))));
  }
}
