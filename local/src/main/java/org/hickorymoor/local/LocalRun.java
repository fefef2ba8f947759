package org.hickorymoor.local;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.TaskStatus;
import org.hickorymoor.protocol.caller.CallerJson;
import org.hickorymoor.protocol.json.EnumNames;
import org.hickorymoor.protocol.json.InvalidRecordException;

/** Submits the examples to a daemon and prints what became of each. Not thread-safe. */
final class LocalRun {

  private static final long WAIT_MS = 30_000;
  private static final int SERVICE_TRIES = 200;
  private static final long SERVICE_POLL_MS = 50;
  private static final Duration LIMIT = Duration.ofSeconds(60);

  private final String server;
  private final PrintStream out;
  private final HttpClient client = HttpClient.newHttpClient();

  LocalRun(String server, PrintStream out) {
    this.server = server;
    this.out = out;
  }

  /** Runs every example; returns how many did not end as they should. */
  int runAll(List<Example> examples)
      throws IOException, InterruptedException, InvalidRecordException {
    int failed = 0;
    for (Example example : examples) {
      JobAnswer answer = example.isService() ? runService(example) : runToEnd(example);
      JobState wanted = example.isService() ? JobState.RUNNING : JobState.DONE;
      boolean asWanted = answer.state() == wanted;
      failed += asWanted ? 0 : 1;
      print(example, answer, asWanted);
    }
    return failed;
  }

  private JobAnswer runToEnd(Example example)
      throws IOException, InterruptedException, InvalidRecordException {
    return send("POST", "/v1/jobs?waitMs=" + WAIT_MS, example.json());
  }

  /** Waits until every task of a service runs, then cancels it. */
  private JobAnswer runService(Example example)
      throws IOException, InterruptedException, InvalidRecordException {
    JobAnswer answer = send("POST", "/v1/jobs?waitMs=0", example.json());
    for (int i = 0; i < SERVICE_TRIES && !allRunning(answer); i++) {
      Thread.sleep(SERVICE_POLL_MS);
      answer = send("GET", example.path(), "");
    }
    send("DELETE", example.path(), "");
    return answer;
  }

  private static boolean allRunning(JobAnswer answer) {
    return !answer.tasks().isEmpty()
        && answer.tasks().stream().allMatch(task -> task.state() == JobState.RUNNING);
  }

  private JobAnswer send(String method, String path, String body)
      throws IOException, InterruptedException, InvalidRecordException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + server + path))
            .timeout(LIMIT)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    String answer = client.send(request, HttpResponse.BodyHandlers.ofString()).body();
    return CallerJson.parseJobAnswer(answer);
  }

  private void print(Example example, JobAnswer answer, boolean asWanted) {
    out.printf(
        "%-4s %-36s %-12s %-8s %s%n",
        asWanted ? "ok" : "BAD",
        answer.request(),
        EnumNames.toKebabCase(example.spec().kind()),
        EnumNames.toKebabCase(answer.state()),
        asWanted ? "" : answer.reason());
    for (TaskStatus task : answer.tasks()) {
      out.printf(
          "       task %-3d on %-4s attempt %d  %s%n",
          task.index(), task.workerId(), task.attempts(), task.output());
    }
  }
}
