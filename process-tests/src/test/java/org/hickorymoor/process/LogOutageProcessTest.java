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
  void repeatableJobsAreServedInAnOutage() {
    cell.logFaults(REFUSE);

    Http.Reply reply = cell.submit("e1", Records.batch("p1", "urgent", 1, 50, "swatch"), WAIT_MS);

    assertThat(reply.state()).isEqualTo("done");
    Promises.check(cell);
  }

  @Test
  void jobThatMustNotBeRepeatedIsNotRunInAnOutageAndRunsOnceAfterIt() {
    cell.logFaults(HANG);
    cell.awaitNoClaims(HOSTS);
    Http.Reply refused = cell.submit("e1", Records.once("plate", 50), WAIT_MS);
    assertThat(refused.state()).isEqualTo("not-run");
    assertThat(cell.startedTasks()).isEqualTo(0);

    cell.logFaults(NONE);
    cell.awaitLog("live", HOSTS);

    Http.Reply done = cell.submitUntilRun("e2", Records.once("plate", 50), WAIT_MS);
    assertThat(done.state()).isEqualTo("done");
    assertThat(cell.startedTasks()).isEqualTo(1);
    Promises.check(cell);
  }

  @Test
  void jobWhoseClaimGotNoAnswerIsInDoubtAndRunsOnceWhenTheLogIsBack() {
    cell.logFaults(HANG);

    Http.Reply unknown = cell.submit("e1", Records.once("plate", 50), 6_000);
    assertThat(unknown.state()).isEqualTo("in-doubt");
    cell.logFaults(NONE);

    cell.awaitState("e2", "plate", "done");
    assertThat(cell.startedTasks()).isEqualTo(1);
    Promises.check(cell);
  }

  @Test
  void repliesToAppendsThatAreLostMakeNoSecondRun() {
    cell.logFaults("{\"loseReplies\":6}");

    Http.Reply reply = cell.submitUntilRun("e1", Records.once("plate", 50), WAIT_MS);

    assertThat(reply.state()).isEqualTo("done");
    assertThat(cell.startedTasks()).isEqualTo(1);
    Promises.check(cell);
  }

  @Test
  void domainGoesOnServingWhenItsCoordinatorDiesInAnOutage() {
    String first = cell.awaitCoordinator(HOSTS);
    cell.logFaults(REFUSE);
    cell.daemon(first).kill();

    Http.Reply reply =
        cell.submit(other(first), Records.batch("p2", "urgent", 1, 50, "swatch"), WAIT_MS);

    assertThat(reply.state()).isEqualTo("done");
    Promises.check(cell);
  }

  @Test
  void jobThatRunsWhenCoordinatorDiesInAnOutageIsAnsweredOnceTheLogIsBack() {
    String first = cell.awaitCoordinator(HOSTS);
    cell.submit(first, Records.once("plate", 3_000), 0);
    cell.awaitState(first, "plate", "running");
    cell.logFaults(REFUSE);
    cell.daemon(first).kill();
    cell.awaitCoordinator(List.of(other(first)));

    cell.logFaults(NONE);

    cell.awaitState(other(first), "plate", "done");
    assertThat(cell.startedTasks()).isEqualTo(1);
    Promises.check(cell);
  }
}
