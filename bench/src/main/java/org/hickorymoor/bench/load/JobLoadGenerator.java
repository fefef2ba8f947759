package org.hickorymoor.bench.load;

import com.google.gson.JsonObject;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;

/**
 * Submits jobs on a schedule fixed in advance, so that a slow response does not delay later
 * submissions.
 *
 * <p>Times are readings of the machine's monotonic clock. Submissions are made by a single thread;
 * responses are handled on the threads of the HTTP client.
 */
final class JobLoadGenerator {

  private static final List<String> JOB_CLASSES = List.of("urgent", "normal", "batch");
  private static final long NS_PER_SECOND = 1_000_000_000;
  private static final long NS_PER_MS = 1_000_000;
  private static final int TASK_DURATION_MS = 50;
  private static final int RESPONSE_WAIT_MS = 20_000;
  private static final int TASKS_PER_SERVICE = 10;
  private static final int MAX_RECORDED_WAIT_MS = 120_000;
  private static final int SIGNIFICANT_DIGITS = 3;

  /** The scheduled time and the job class of a submission. */
  private record Submission(long dueMs, String jobClass) {}

  private final JsonHttpClient http;
  private final List<String> urls;
  private final LoadPoint point;
  private final Map<String, Submission> submissionsByJobId = new ConcurrentHashMap<>();
  private final Map<String, Long> countsByState = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<CompletableFuture<?>> responses =
      new ConcurrentLinkedQueue<>();
  private int sequence;

  JobLoadGenerator(JsonHttpClient http, List<String> urls, LoadPoint point) {
    this.http = http;
    this.urls = urls;
    this.point = point;
  }

  /** Submits services until their tasks add up to {@link LoadPoint#running()}. */
  void submitServices() throws LoadException {
    for (int remaining = point.running(); remaining > 0; remaining -= TASKS_PER_SERVICE) {
      JsonObject job = newJob("normal", "service", Math.min(remaining, TASKS_PER_SERVICE), -1);
      JsonHttpClient.Response response =
          http.send("POST", urls.get(0) + "/v1/jobs?waitMs=0", job.toString()).join();
      if (!response.state().equals("accepted") && !response.state().equals("running")) {
        throw new LoadException("expected a service to be accepted, got " + response);
      }
    }
  }

  /** Submits batch jobs at a constant rate for the given time. */
  void submitFor(int seconds) {
    if (point.startsPerSecond() == 0) {
      return;
    }
    long intervalNs = NS_PER_SECOND * point.tasksPerJob() / point.startsPerSecond();
    long jobs = seconds * NS_PER_SECOND / intervalNs;
    long startNs = System.nanoTime();
    for (long i = 0; i < jobs; i++) {
      long dueNs = startNs + i * intervalNs;
      sleepUntilNs(dueNs);
      submit(dueNs / NS_PER_MS);
    }
  }

  private static void sleepUntilNs(long dueNs) {
    for (long remainingNs = dueNs - System.nanoTime();
        remainingNs > 0;
        remainingNs = dueNs - System.nanoTime()) {
      LockSupport.parkNanos(remainingNs);
    }
  }

  private void submit(long dueMs) {
    String jobClass = JOB_CLASSES.get(sequence % JOB_CLASSES.size());
    String url = urls.get(sequence % urls.size()) + "/v1/jobs?waitMs=" + RESPONSE_WAIT_MS;
    JsonObject job = newJob(jobClass, "batch", point.tasksPerJob(), TASK_DURATION_MS);
    job.addProperty("repeatable", sequence % 2 == 0);
    responses.add(
        http.send("POST", url, job.toString())
            .handle((response, failure) -> recordResponse(dueMs, jobClass, response, failure)));
  }

  private boolean recordResponse(
      long dueMs,
      String jobClass,
      JsonHttpClient.@Nullable Response response,
      @Nullable Throwable failure) {
    countsByState.merge(response == null ? "no-answer" : response.state(), 1L, Long::sum);
    if (response != null && response.body().has("jobId")) {
      String jobId = response.body().get("jobId").getAsString();
      submissionsByJobId.put(jobId, new Submission(dueMs, jobClass));
    }
    return failure == null;
  }

  private JsonObject newJob(String jobClass, String kind, int count, int sleepMs) {
    sequence++;
    JsonObject demand = new JsonObject();
    demand.addProperty("slots", 1);
    demand.addProperty("connections", 1);
    demand.addProperty("cpuMillis", 10);
    demand.addProperty("memoryMb", 1);
    JsonObject tasks = new JsonObject();
    tasks.addProperty("count", count);
    tasks.addProperty("payload", "{\"sleepMs\":" + sleepMs + ",\"output\":\"ok\"}");
    tasks.add("demand", demand);
    JsonObject job = new JsonObject();
    job.addProperty("schemaVersion", 2);
    job.addProperty("team", "team-" + sequence % point.teams());
    job.addProperty("key", "load-" + sequence);
    job.addProperty("name", "load-" + kind);
    job.addProperty("kind", kind);
    job.addProperty("class", jobClass);
    job.add("tasks", tasks);
    return job;
  }

  /** Waits until every submission was answered or failed, at most twice the response wait. */
  void awaitResponses() {
    CompletableFuture.allOf(responses.toArray(new CompletableFuture<?>[0]))
        .orTimeout(2L * RESPONSE_WAIT_MS, TimeUnit.MILLISECONDS)
        .handle((done, failure) -> failure)
        .join();
  }

  /** Returns the number of submissions by the job state in the response. */
  Map<String, Long> countsByState() {
    return Map.copyOf(countsByState);
  }

  /**
   * Returns histograms of the time from scheduled submission to first start, by job class.
   *
   * @param firstStartsMs time of the first task start, by job id
   * @param fromMs jobs scheduled before this time are excluded
   */
  Map<String, Histogram> waitsByClass(Map<String, Long> firstStartsMs, long fromMs) {
    Map<String, Histogram> waits = new HashMap<>();
    submissionsByJobId.forEach(
        (jobId, submission) -> {
          Long startedMs = firstStartsMs.get(jobId);
          if (startedMs != null && submission.dueMs() >= fromMs) {
            long waitMs = Math.max(0, startedMs - submission.dueMs());
            waits
                .computeIfAbsent(
                    submission.jobClass(),
                    name -> new Histogram(MAX_RECORDED_WAIT_MS, SIGNIFICANT_DIGITS))
                .recordValue(Math.min(waitMs, MAX_RECORDED_WAIT_MS));
          }
        });
    return waits;
  }
}
