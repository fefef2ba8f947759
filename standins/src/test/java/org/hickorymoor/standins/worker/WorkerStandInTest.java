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
import org.hickorymoor.protocol.platform.EndedTask;
import org.hickorymoor.protocol.platform.StartCommand;
import org.hickorymoor.protocol.platform.SyncCommand;
import org.hickorymoor.protocol.platform.SyncReply;
import org.hickorymoor.protocol.platform.TaskCommand;
import org.hickorymoor.protocol.platform.TaskOutcome;
import org.hickorymoor.protocol.platform.WorkerInfo;
import org.hickorymoor.standins.JsonHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class WorkerStandInTest {

  private static final Resources CAPACITY = new Resources(2, 8, 2_000, 1_024, 0);
  private static final Resources DEMAND = new Resources(1, 1, 500, 256, 0);
  private static final String RUN_UNTIL_STOPPED = "{\"sleepMs\":-1}";
  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final long LONG_MS = 600_000;

  private final WorkerStandIn worker =
      new WorkerStandIn(WorkerSettings.of("w1", "kano", "rack-1", CAPACITY));
  private JsonHttpClient client;

  @BeforeEach
  void start() throws Exception {
    worker.start();
    client = new JsonHttpClient(worker.address());
    client.start();
  }

  @AfterEach
  void stop() throws Exception {
    client.stop();
    worker.stop();
  }

  @Test
  void leaseExpiresWithoutFurtherCalls() throws Exception {
    startTask("job/0/1", RUN_UNTIL_STOPPED, 50);

    EndedTask ended = sync(Map.of(), List.of(), LONG_MS).ended().get(0);
    assertThat(ended.outcome()).isEqualTo(TaskOutcome.LAPSED);
    assertThat(worker.record().lapsed()).isEqualTo(1);
  }

  @Test
  void renewalExtendsLeaseAndIgnoresUnknownTask() throws Exception {
    startTask("job/0/1", RUN_UNTIL_STOPPED, LONG_MS);

    SyncReply reply = sync(Map.of("job/0/1", 2 * LONG_MS, "other/0/1", LONG_MS), List.of(), 0);

    assertThat(reply.tasks()).hasSize(1);
    assertThat(reply.tasks().get(0).leaseUntilMs()).isAtLeast(reply.nowMs() + LONG_MS);
  }

  @Test
  void lateStartIsExpiredAndCounted() throws Exception {
    long nowMs = client.get("/v1/info", WorkerInfo.class).nowMs();
    StartCommand late =
        new StartCommand("job/0/1", Map.of(), DEMAND, RUN_UNTIL_STOPPED, null, LONG_MS, nowMs - 1);

    CommandReply reply = client.post("/v1/start", late, CommandReply.class);

    assertThat(reply.outcome()).isEqualTo(CommandOutcome.EXPIRED);
    assertThat(worker.record().expired()).isEqualTo(1);
    assertThat(worker.record().runs()).isEmpty();
  }

  @Test
  void startOfRunningTaskRunsAndIsRecorded() throws Exception {
    startTask("job/0/1", RUN_UNTIL_STOPPED, LONG_MS);
    startTask("job/0/1", RUN_UNTIL_STOPPED, LONG_MS);

    assertThat(worker.record().doubleRuns()).hasSize(1);
    assertThat(worker.record().runs()).containsExactly("job", 2);
    assertThat(sync(Map.of(), List.of(), 0).tasks()).hasSize(2);
  }

  @Test
  void secondAttemptDuringFirstIsRecordedAsDoubleRun() throws Exception {
    startTask("job/0/1", RUN_UNTIL_STOPPED, LONG_MS);
    startTask("job/1/1", RUN_UNTIL_STOPPED, LONG_MS);
    startTask("job/0/2", RUN_UNTIL_STOPPED, LONG_MS);

    List<WorkerRecord.DoubleRun> doubleRuns = worker.record().doubleRuns();
    assertThat(doubleRuns).hasSize(1);
    assertThat(doubleRuns.get(0).runningTaskId()).isEqualTo("job/0/1");
  }

  @Test
  void startAboveCapacityRunsAndIsRecorded() throws Exception {
    startTask("a/0/1", RUN_UNTIL_STOPPED, LONG_MS);
    startTask("b/0/1", RUN_UNTIL_STOPPED, LONG_MS);
    assertThat(worker.record().overloads()).isEmpty();

    startTask("c/0/1", RUN_UNTIL_STOPPED, LONG_MS);

    assertThat(worker.record().overloads()).hasSize(1);
    assertThat(worker.record().overloads().get(0).what()).isEqualTo("slots 3 of 2");
  }

  @Test
  void waitingSyncIsAnsweredWhenTaskEnds() throws Exception {
    startTask("job/0/1", RUN_UNTIL_STOPPED, LONG_MS);
    SyncCommand command = new SyncCommand(Map.of(), List.of(), List.of(), LONG_MS, true, 0);
    CompletableFuture<SyncReply> waiting = client.postAsync("/v1/sync", command, SyncReply.class);

    client.post("/v1/stop", new TaskCommand("job/0/1", 0, 0), CommandReply.class);

    EndedTask ended = waiting.get().ended().get(0);
    assertThat(ended.outcome()).isEqualTo(TaskOutcome.STOPPED);
    assertThat(ended.labels()).containsExactly("team", "kaduna");
  }

  @Test
  void waitingSyncIsAnsweredAtTimeout() throws Exception {
    startTask("job/0/1", RUN_UNTIL_STOPPED, LONG_MS);

    SyncReply reply = sync(Map.of(), List.of(), 50);

    assertThat(reply.tasks()).hasSize(1);
    assertThat(reply.ended()).isEmpty();
  }

  @Test
  void seenTaskDoesNotEndTheWait() throws Exception {
    startTask("a/0/1", "", LONG_MS);
    startTask("b/0/1", "{\"sleepMs\":50}", LONG_MS);
    SyncCommand command = new SyncCommand(Map.of(), List.of(), List.of("a/0/1"), LONG_MS, false, 0);

    SyncReply reply = client.post("/v1/sync", command, SyncReply.class);

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
  void malformedPayloadFailsTask() throws Exception {
    startTask("job/0/1", "{", LONG_MS);

    EndedTask ended = sync(Map.of(), List.of(), LONG_MS).ended().get(0);
    assertThat(ended.outcome()).isEqualTo(TaskOutcome.FAILED);
    assertThat(ended.output()).contains("expected a payload in JSON");
  }

  @Test
  void checkpointResumesInLaterStart() throws Exception {
    startTask("job/0/1", "{\"sleepMs\":500000}", LONG_MS);
    TaskCommand command = new TaskCommand("job/0/1", 0, 0);
    String token = client.post("/v1/checkpoint", command, CommandReply.class).checkpoint();
    client.post("/v1/stop", command, CommandReply.class);

    StartCommand resumed =
        new StartCommand("job/0/2", Map.of(), DEMAND, "{\"sleepMs\":1}", token, LONG_MS, 0);
    client.post("/v1/start", resumed, CommandReply.class);

    assertThat(sync(Map.of(), List.of(), 0).tasks()).hasSize(1);
  }

  @Test
  void restartDiscardsTasksAndChangesIncarnation() throws Exception {
    final String address = worker.address();
    final String before = client.get("/v1/info", WorkerInfo.class).incarnation();
    startTask("job/0/1", RUN_UNTIL_STOPPED, LONG_MS);

    worker.stop();
    worker.start();
    client.closeIdleConnections();

    assertThat(worker.address()).isEqualTo(address);
    SyncReply reply = sync(Map.of(), List.of(), 0);
    assertThat(reply.incarnation()).isNotEqualTo(before);
    assertThat(reply.tasks()).isEmpty();
    assertThat(worker.record().runs()).containsExactly("job", 1);
  }

  @Test
  void drainFactorAppliesToRunningTasks() throws Exception {
    startTask("job/0/1", "{\"sleepMs\":500000}", LONG_MS);

    client.postRaw("/v1/drain-factor", Map.of("percent", 100_000_000));

    await().atMost(TIMEOUT).until(() -> worker.record().ended().size() == 1);
    assertThat(worker.record().ended().get(0).outcome()).isEqualTo(TaskOutcome.SUCCEEDED);
  }

  @Test
  void failAllFailsStartedTask() throws Exception {
    worker.setFaults(WorkerFaults.NONE.withFailAll(true));

    startTask("job/0/1", RUN_UNTIL_STOPPED, LONG_MS);

    EndedTask ended = sync(Map.of(), List.of(), LONG_MS).ended().get(0);
    assertThat(ended.outcome()).isEqualTo(TaskOutcome.FAILED);
    assertThat(worker.record().runs()).containsExactly("job", 1);
  }

  @Test
  void usageReflectsActualUsageAndIsFrozenWhileReportsAreMissing() throws Exception {
    worker.setFaults(WorkerFaults.NONE.withUsagePercent(200, 300));
    startTask("a/0/1", RUN_UNTIL_STOPPED, LONG_MS);
    worker.setFaults(worker.faults().withUsageMissing(true));
    startTask("b/0/1", RUN_UNTIL_STOPPED, LONG_MS);

    SyncReply first = sync(Map.of(), List.of(), 0);
    assertThat(first.usage().cpuMillis()).isEqualTo(1_000);
    assertThat(first.usage().memoryMb()).isEqualTo(768);
    assertThat(sync(Map.of(), List.of(), 0).usage()).isEqualTo(first.usage());
  }

  @Test
  void requestWithMissingFieldsIsRejected() throws Exception {
    assertThat(client.postRaw("/v1/start", Map.of("taskId", "job/0/1")).getStatus()).isEqualTo(400);
    assertThat(client.postRaw("/v1/stop", Map.of()).getContentAsString()).contains("taskId");
  }

  private void startTask(String taskId, String payload, long leaseMs) throws Exception {
    StartCommand command =
        new StartCommand(taskId, Map.of("team", "kaduna"), DEMAND, payload, null, leaseMs, 0);
    CommandReply reply = client.post("/v1/start", command, CommandReply.class);
    assertThat(reply.outcome()).isEqualTo(CommandOutcome.DONE);
  }

  private SyncReply sync(Map<String, Long> renew, List<String> ack, long waitMs) throws Exception {
    SyncCommand command = new SyncCommand(renew, ack, List.of(), waitMs, false, 0);
    return client.post("/v1/sync", command, SyncReply.class);
  }
}
