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

/** Submits the examples to a daemon and prints the result of each. Not thread-safe. */
final class ExampleRunner {

  private static final long JOB_WAIT_MS = 30_000;
  private static final int MAX_SERVICE_POLLS = 200;
  private static final long SERVICE_POLL_MS = 50;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);

  private final String server;
  private final PrintStream out;
  private final HttpClient client = HttpClient.newHttpClient();

  ExampleRunner(String server, PrintStream out) {
    this.server = server;
    this.out = out;
  }

  /** Runs all examples and returns the number of those that failed. */
  int runAll(List<Example> examples)
      throws IOException, InterruptedException, InvalidRecordException {
    int failed = 0;
    for (Example example : examples) {
      JobAnswer answer = example.isService() ? runService(example) : runToEnd(example);
      JobState expectedState = example.isService() ? JobState.RUNNING : JobState.DONE;
      boolean passed = answer.state() == expectedState;
      failed += passed ? 0 : 1;
      print(example, answer, passed);
    }
    return failed;
  }

  private JobAnswer runToEnd(Example example)
      throws IOException, InterruptedException, InvalidRecordException {
    return send("POST", "/v1/jobs?waitMs=" + JOB_WAIT_MS, example.json());
  }

  /** Waits until all tasks of a service run, then cancels it, since it does not end by itself. */
  private JobAnswer runService(Example example)
      throws IOException, InterruptedException, InvalidRecordException {
    JobAnswer answer = send("POST", "/v1/jobs?waitMs=0", example.json());
    for (int i = 0; i < MAX_SERVICE_POLLS && !allRunning(answer); i++) {
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
            .timeout(REQUEST_TIMEOUT)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    String answer = client.send(request, HttpResponse.BodyHandlers.ofString()).body();
    return CallerJson.parseJobAnswer(answer);
  }

  private void print(Example example, JobAnswer answer, boolean passed) {
    out.printf(
        "%-4s %-36s %-12s %-8s %s%n",
        passed ? "ok" : "BAD",
        answer.request(),
        EnumNames.toKebabCase(example.spec().kind()),
        EnumNames.toKebabCase(answer.state()),
        passed ? "" : answer.reason());
    for (TaskStatus task : answer.tasks()) {
      out.printf(
          "       task %-3d on %-4s attempt %d  %s%n",
          task.index(), task.workerId(), task.attempts(), task.output());
    }
  }
}
