package org.hickorymoor.process;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class LogOutageProcessTest {

  private static final List<String> HOSTS = List.of("e1", "e2");
  private static final long WAIT_MS = 50_000;
  private static final String REFUSE = "{\"outage\":\"refuse\"}";
  private static final String HANG = "{\"outage\":\"hang\"}";
  private static final String NONE = "{\"outage\":\"none\"}";

  @TempDir Path directory;
  private Cell cell;

  @BeforeEach
  void startCell() {
    cell = new Cell(directory);
    cell.startWorkers("kano", 3);
    for (String hostId : HOSTS) {
      cell.startDaemon(hostId, "kano", Cell.SHORT_LEASES);
    }
    cell.awaitCoordinator(HOSTS);
  }

  @AfterEach
  void stopCell() {
    cell.close();
  }

  private String other(String hostId) {
    return hostId.equals("e1") ? "e2" : "e1";
  }

  @Test
  void repeatableJobsRunDuringLogOutage() {
    cell.setLogFaults(REFUSE);

    HttpJsonClient.Reply reply =
        cell.submit("e1", TestRecords.batch("p1", "urgent", 1, 50, "swatch"), WAIT_MS);

    assertThat(reply.state()).isEqualTo("done");
    Invariants.check(cell);
  }

  @Test
  void nonRepeatableJobIsRejectedDuringLogOutageAndRunsOnceAfterIt() {
    cell.setLogFaults(HANG);
    cell.awaitClaimsDisabled(HOSTS);
    HttpJsonClient.Reply refused = cell.submit("e1", TestRecords.atMostOnce("plate", 50), WAIT_MS);
    assertThat(refused.state()).isEqualTo("not-run");
    assertThat(cell.countStartedTasks()).isEqualTo(0);

    cell.setLogFaults(NONE);
    cell.awaitLogState("live", HOSTS);

    HttpJsonClient.Reply done =
        cell.submitUntilAccepted("e2", TestRecords.atMostOnce("plate", 50), WAIT_MS);
    assertThat(done.state()).isEqualTo("done");
    assertThat(cell.countStartedTasks()).isEqualTo(1);
    Invariants.check(cell);
  }

  @Test
  void jobWithUnansweredClaimIsInDoubtAndRunsOnceAfterLogRecovers() {
    cell.setLogFaults(HANG);

    HttpJsonClient.Reply unknown = cell.submit("e1", TestRecords.atMostOnce("plate", 50), 6_000);
    assertThat(unknown.state()).isEqualTo("in-doubt");
    cell.setLogFaults(NONE);

    cell.awaitState("e2", "plate", "done");
    assertThat(cell.countStartedTasks()).isEqualTo(1);
    Invariants.check(cell);
  }

  @Test
  void lostAppendRepliesCauseNoSecondRun() {
    cell.setLogFaults("{\"loseReplies\":6}");

    HttpJsonClient.Reply reply =
        cell.submitUntilAccepted("e1", TestRecords.atMostOnce("plate", 50), WAIT_MS);

    assertThat(reply.state()).isEqualTo("done");
    assertThat(cell.countStartedTasks()).isEqualTo(1);
    Invariants.check(cell);
  }

  @Test
  void domainKeepsServingWhenCoordinatorDiesDuringLogOutage() {
    String coordinator = cell.awaitCoordinator(HOSTS);
    cell.setLogFaults(REFUSE);
    cell.daemon(coordinator).kill();

    HttpJsonClient.Reply reply =
        cell.submit(
            other(coordinator), TestRecords.batch("p2", "urgent", 1, 50, "swatch"), WAIT_MS);

    assertThat(reply.state()).isEqualTo("done");
    Invariants.check(cell);
  }

  @Test
  void jobRunningWhenCoordinatorDiesDuringLogOutageIsAnsweredAfterLogRecovers() {
    String coordinator = cell.awaitCoordinator(HOSTS);
    cell.submit(coordinator, TestRecords.atMostOnce("plate", 3_000), 0);
    cell.awaitState(coordinator, "plate", "running");
    cell.setLogFaults(REFUSE);
    cell.daemon(coordinator).kill();
    cell.awaitCoordinator(List.of(other(coordinator)));

    cell.setLogFaults(NONE);

    cell.awaitState(other(coordinator), "plate", "done");
    assertThat(cell.countStartedTasks()).isEqualTo(1);
    Invariants.check(cell);
  }
}
