package org.hickorymoor.cli;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.Map;
import org.hickorymoor.cli.client.Reply;
import org.junit.jupiter.api.Test;

final class PreviewCommandTest {

  private static final String ANSWER =
      """
      {"basis":{"epoch":9,"configVersion":7,"submissionsAgeMs":12},"refusals":[],
       "notes":["the queue needs approvals"],
       "customer":{"name":"acme","limit":{"cpuMillis":5000,"memoryMb":0,"accelerators":0},
         "used":{"cpuMillis":4000,"memoryMb":10,"accelerators":0},
         "averageShareMillionths":62500,"entitledShareMillionths":500000,"rank":0},
       "timing":{"steps":[{"step":0,"expectedMs":700,"estimatedMs":500}],
         "criticalPathMs":700,"objectiveMs":1650,"timeliness":"on_time"},
       "stepsBefore":2,
       "steps":[{"step":0,"tasks":3,"permitted":1,"workers":3,"fitNow":1,"fitEmpty":2,
         "unfit":[{"reason":"memory","workers":2}],
         "best":[{"worker":"w1","rack":"r1","costThousandths":1850,
           "parts":[{"name":"slowdown","thousandths":1000},{"name":"size","thousandths":850}]}]}]}
      """;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private ExitCode run(String server, String job, String... options) {
    String[] arguments = new String[options.length + 2];
    arguments[0] = "preview";
    arguments[1] = "-";
    System.arraycopy(options, 0, arguments, 2, options.length);
    return new Cli(
            Map.of("HICKORYMOOR_SERVER", server),
            new ByteArrayInputStream(job.getBytes(UTF_8)),
            new PrintStream(out, true, UTF_8),
            new PrintStream(err, true, UTF_8))
        .run(arguments);
  }

  // Guards against output that omits what keeps the job waiting.
  @Test
  void printsReport() throws Exception {
    try (FakeDaemon host = new FakeDaemon(call -> new Reply(200, ANSWER, 0))) {
      ExitCode code = run(host.address(), "{\"spec\":\"s\"}", "--queue", "q", "--customer", "acme");

      assertThat(code).isEqualTo(ExitCode.OK);
      assertThat(host.received)
          .containsExactly(
              new FakeDaemon.Received(
                  "POST",
                  "/v1/placement-preview",
                  "anonymous",
                  "{\"queue\":\"q\",\"customer\":\"acme\",\"job\":{\"spec\":\"s\"}}"));
      assertThat(out.toString(UTF_8))
          .isEqualTo(
              """
              coordinator epoch 9, configuration 7, submissions read 12 ms ago
              would be accepted
              note: the queue needs approvals
              customer acme: limit 5000/0/0, uses 4000/10/0 (cpuMillis/memoryMb/accelerators, \
              limit 0 is none), averaged share 6.3 %, entitled to 50.0 %, rank 0
              started now: on time; critical path 700 ms, objective 1650 ms
              STEP  EXPECTED_MS  ESTIMATED_MS
              0     700          500
              ready steps that go before: 2
              step 0: 3 tasks, 1 within the customer's limit; of 3 workers a task fits 1 now, 2 if \
              empty
                memory: 2 workers
              WORKER  RACK  COST   PARTS
              w1      r1    1.850  slowdown=1.000 size=0.850
              """);
    }
  }

  // Guards against an unanswered question that is reported as a change in doubt, or not at all.
  @Test
  void failuresAreReportedByExitCode() throws Exception {
    String error = "{\"error\":{\"type\":\"%s\",\"message\":\"%s\"}}";
    try (FakeDaemon host =
        new FakeDaemon(
            call ->
                call.body().contains("unknown")
                    ? new Reply(404, error.formatted("invalid-request", "no queue unknown"), 0)
                    : new Reply(503, error.formatted("unavailable", "no coordinator"), 0))) {
      assertThat(run(host.address(), "{}", "--queue", "q")).isEqualTo(ExitCode.SERVER_ERROR);
      assertThat(err.toString(UTF_8)).contains("no coordinator");
      assertThat(run(host.address(), "{}", "--queue", "unknown")).isEqualTo(ExitCode.REFUSED);
      assertThat(run(host.address(), "[]", "--queue", "q")).isEqualTo(ExitCode.USAGE);
      assertThat(run("127.0.0.1:1", "{}", "--queue", "q", "--retry-for", "1ms"))
          .isEqualTo(ExitCode.UNREACHABLE);
    }
  }
}
