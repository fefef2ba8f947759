package org.hickorymoor.standins.worker;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hickorymoor.domain.Resources;
import org.hickorymoor.protocol.platform.CommandOutcome;
import org.hickorymoor.protocol.platform.CommandReply;
import org.hickorymoor.protocol.platform.EndOutcome;
import org.hickorymoor.protocol.platform.EndedTask;
import org.hickorymoor.protocol.platform.StartCommand;
import org.hickorymoor.protocol.platform.SyncCommand;
import org.hickorymoor.protocol.platform.SyncReply;
import org.hickorymoor.protocol.platform.TaskCommand;
import org.hickorymoor.protocol.platform.WorkerInfo;
import org.hickorymoor.standins.HttpCaller;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class WorkerStandInTest {

  private static final Resources CAPACITY = new Resources(2, 8, 2_000, 1_024, 0);
  private static final Resources DEMAND = new Resources(1, 1, 500, 256, 0);
  private static final String ENDLESS = "{\"sleepMs\":-1}";
  private static final Duration LIMIT = Duration.ofSeconds(60);
  private static final long LONG_MS = 600_000;

  private final WorkerStandIn worker =
      new WorkerStandIn(WorkerSettings.of("w1", "kano", "rack-1", CAPACITY));
  private HttpCaller caller;

  @BeforeEach
  void start() throws Exception {
    worker.start();
    caller = new HttpCaller(worker.address());
    caller.start();
  }

  @AfterEach
  void stop() throws Exception {
    caller.stop();
    worker.stop();
  }

  @Test
  void leaseLapsesThoughNobodyCalls() throws Exception {
    startTask("job/0/1", ENDLESS, 50);

    EndedTask ended = sync(Map.of(), List.of(), LONG_MS).ended().get(0);
    assertThat(ended.outcome()).isEqualTo(EndOutcome.LAPSED);
    assertThat(worker.record().lapsed()).isEqualTo(1);
  }

  @Test
  void renewalKeepsLeaseAndUnknownTaskIsNotRevived() throws Exception {
    startTask("job/0/1", ENDLESS, LONG_MS);

    SyncReply reply = sync(Map.of("job/0/1", 2 * LONG_MS, "other/0/1", LONG_MS), List.of(), 0);

    assertThat(reply.tasks()).hasSize(1);
    assertThat(reply.tasks().get(0).leaseUntilMs()).isAtLeast(reply.nowMs() + LONG_MS);
  }

  @Test
  void lateStartIsExpiredAndCounted() throws Exception {
    long nowMs = caller.get("/v1/info", WorkerInfo.class).nowMs();
    StartCommand late =
        new StartCommand("job/0/1", Map.of(), DEMAND, ENDLESS, null, LONG_MS, nowMs - 1);

    CommandReply reply = caller.post("/v1/start", late, CommandReply.class);

    assertThat(reply.outcome()).isEqualTo(CommandOutcome.EXPIRED);
    assertThat(worker.record().expired()).isEqualTo(1);
    assertThat(worker.record().runs()).isEmpty();
  }

  @Test
  void startOfRunningTaskRunsAndIsRecorded() throws Exception {
    startTask("job/0/1", ENDLESS, LONG_MS);
    startTask("job/0/1", ENDLESS, LONG_MS);

    assertThat(worker.record().doubleRuns()).hasSize(1);
    assertThat(worker.record().runs()).containsExactly("job", 2);
    assertThat(sync(Map.of(), List.of(), 0).tasks()).hasSize(2);
  }

  @Test
  void secondAttemptBesideFirstIsRecordedAsDoubleRun() throws Exception {
    startTask("job/0/1", ENDLESS, LONG_MS);
    startTask("job/1/1", ENDLESS, LONG_MS);
    startTask("job/0/2", ENDLESS, LONG_MS);

    List<WorkerRecord.DoubleRun> doubleRuns = worker.record().doubleRuns();
    assertThat(doubleRuns).hasSize(1);
    assertThat(doubleRuns.get(0).runningTaskId()).isEqualTo("job/0/1");
  }

  @Test
  void startAboveCapacityRunsAndIsRecorded() throws Exception {
    startTask("a/0/1", ENDLESS, LONG_MS);
    startTask("b/0/1", ENDLESS, LONG_MS);
    assertThat(worker.record().overloads()).isEmpty();

    startTask("c/0/1", ENDLESS, LONG_MS);

    assertThat(worker.record().overloads()).hasSize(1);
    assertThat(worker.record().overloads().get(0).what()).isEqualTo("slots 3 of 2");
  }

  @Test
  void waitingSyncIsAnsweredWhenTaskEnds() throws Exception {
    startTask("job/0/1", ENDLESS, LONG_MS);
    SyncCommand command = new SyncCommand(Map.of(), List.of(), List.of(), LONG_MS, true, 0);
    CompletableFuture<SyncReply> waiting = caller.postLater("/v1/sync", command, SyncReply.class);

    caller.post("/v1/stop", new TaskCommand("job/0/1", 0, 0), CommandReply.class);

    EndedTask ended = waiting.get().ended().get(0);
    assertThat(ended.outcome()).isEqualTo(EndOutcome.STOPPED);
    assertThat(ended.labels()).containsExactly("team", "kaduna");
  }

  @Test
  void waitingSyncIsAnsweredWhenItsTimePasses() throws Exception {
    startTask("job/0/1", ENDLESS, LONG_MS);

    SyncReply reply = sync(Map.of(), List.of(), 50);

    assertThat(reply.tasks()).hasSize(1);
    assertThat(reply.ended()).isEmpty();
  }

  @Test
  void seenTaskDoesNotCutTheWaitShort() throws Exception {
    startTask("a/0/1", "", LONG_MS);
    startTask("b/0/1", "{\"sleepMs\":50}", LONG_MS);
    SyncCommand command = new SyncCommand(Map.of(), List.of(), List.of("a/0/1"), LONG_MS, false, 0);

    SyncReply reply = caller.post("/v1/sync", command, SyncReply.class);

    assertThat(reply.ended()).hasSize(2);
  }

  @Test
  void endedTaskStaysListedUntilAcknowledged() throws Exception {
    startTask("job/0/1", "{\"output\":\"plan\"}", LONG_MS);

    assertThat(sync(Map.of(), List.of(), LONG_MS).ended().get(0).output()).isEqualTo("plan");
    assertThat(sync(Map.of(), List.of(), 0).ended()).hasSize(1);
    assertThat(sync(Map.of(), List.of("job/0/1"), 0).ended()).isEmpty();
  }

  @Test
  void unreadablePayloadFailsTask() throws Exception {
    startTask("job/0/1", "{", LONG_MS);

    EndedTask ended = sync(Map.of(), List.of(), LONG_MS).ended().get(0);
    assertThat(ended.outcome()).isEqualTo(EndOutcome.FAILED);
    assertThat(ended.output()).contains("expected a payload in JSON");
  }

  @Test
  void checkpointResumesInLaterStart() throws Exception {
    startTask("job/0/1", "{\"sleepMs\":500000}", LONG_MS);
    TaskCommand command = new TaskCommand("job/0/1", 0, 0);
    String token = caller.post("/v1/checkpoint", command, CommandReply.class).checkpoint();
    caller.post("/v1/stop", command, CommandReply.class);

    StartCommand resumed =
        new StartCommand("job/0/2", Map.of(), DEMAND, "{\"sleepMs\":1}", token, LONG_MS, 0);
    caller.post("/v1/start", resumed, CommandReply.class);

    assertThat(sync(Map.of(), List.of(), 0).tasks()).hasSize(1);
  }

  @Test
  void restartForgetsTasksUnderNewIncarnation() throws Exception {
    final String address = worker.address();
    final String before = caller.get("/v1/info", WorkerInfo.class).incarnation();
    startTask("job/0/1", ENDLESS, LONG_MS);

    worker.stop();
    worker.start();

    assertThat(worker.address()).isEqualTo(address);
    SyncReply reply = sync(Map.of(), List.of(), 0);
    assertThat(reply.incarnation()).isNotEqualTo(before);
    assertThat(reply.tasks()).isEmpty();
    assertThat(worker.record().runs()).containsExactly("job", 1);
  }

  @Test
  void drainFactorChangesWhatRuns() throws Exception {
    startTask("job/0/1", "{\"sleepMs\":500000}", LONG_MS);

    caller.postRaw("/v1/drain-factor", Map.of("percent", 100_000_000));

    await().atMost(LIMIT).until(() -> worker.record().ended().size() == 1);
    assertThat(worker.record().ended().get(0).outcome()).isEqualTo(EndOutcome.SUCCEEDED);
  }

  @Test
  void workerThatFailsAllFailsWhatItStarts() throws Exception {
    worker.setNoise(WorkerNoise.NONE.withFailAll(true));

    startTask("job/0/1", ENDLESS, LONG_MS);

    EndedTask ended = sync(Map.of(), List.of(), LONG_MS).ended().get(0);
    assertThat(ended.outcome()).isEqualTo(EndOutcome.FAILED);
    assertThat(worker.record().runs()).containsExactly("job", 1);
  }

  @Test
  void usageFollowsTrueUseAndStaysWhileReportsAreMissing() throws Exception {
    worker.setNoise(WorkerNoise.NONE.withUsePercent(200, 300));
    startTask("a/0/1", ENDLESS, LONG_MS);
    worker.setNoise(worker.noise().withUsageMissing(true));
    startTask("b/0/1", ENDLESS, LONG_MS);

    SyncReply first = sync(Map.of(), List.of(), 0);
    assertThat(first.usage().cpuMillis()).isEqualTo(1_000);
    assertThat(first.usage().memoryMb()).isEqualTo(768);
    assertThat(sync(Map.of(), List.of(), 0).usage()).isEqualTo(first.usage());
  }

  @Test
  void callWithoutItsFieldsIsMalformed() throws Exception {
    assertThat(caller.postRaw("/v1/start", Map.of("taskId", "job/0/1")).getStatus()).isEqualTo(400);
    assertThat(caller.postRaw("/v1/stop", Map.of()).getContentAsString()).contains("taskId");
  }

  private void startTask(String taskId, String payload, long leaseMs) throws Exception {
    StartCommand command =
        new StartCommand(taskId, Map.of("team", "kaduna"), DEMAND, payload, null, leaseMs, 0);
    CommandReply reply = caller.post("/v1/start", command, CommandReply.class);
    assertThat(reply.outcome()).isEqualTo(CommandOutcome.DONE);
  }

  private SyncReply sync(Map<String, Long> renew, List<String> ack, long waitMs) throws Exception {
    SyncCommand command = new SyncCommand(renew, ack, List.of(), waitMs, false, 0);
    return caller.post("/v1/sync", command, SyncReply.class);
  }
}
