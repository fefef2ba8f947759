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
 * Submits jobs at times fixed in advance, so that a slow answer delays no later submission.
 *
 * <p>Times are readings of the machine's monotonic clock. Used by one thread; answers come on
 * others.
 */
final class JobLoad {

  private static final List<String> CLASSES = List.of("urgent", "normal", "batch");
  private static final long NS_PER_SECOND = 1_000_000_000;
  private static final long NS_PER_MS = 1_000_000;
  private static final int TASK_MS = 50;
  private static final int WAIT_MS = 20_000;
  private static final int TASKS_PER_SERVICE = 10;
  private static final int HIGHEST_WAIT_MS = 120_000;
  private static final int DIGITS = 3;

  /** A submission: when it was due and to which class it belongs. */
  private record Submitted(long dueMs, String jobClass) {}

  private final HttpCalls http;
  private final List<String> urls;
  private final LoadPoint point;
  private final Map<String, Submitted> byJobId = new ConcurrentHashMap<>();
  private final Map<String, Long> states = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<CompletableFuture<?>> answers = new ConcurrentLinkedQueue<>();
  private int sequence;

  JobLoad(HttpCalls http, List<String> urls, LoadPoint point) {
    this.http = http;
    this.urls = urls;
    this.point = point;
  }

  /** Submits services until the tasks that run throughout are there, and returns their keys. */
  void submitServices() throws LoadException {
    for (int left = point.running(); left > 0; left -= TASKS_PER_SERVICE) {
      JsonObject job = job("normal", "service", Math.min(left, TASKS_PER_SERVICE), -1);
      HttpCalls.Answer answer =
          http.send("POST", urls.get(0) + "/v1/jobs?waitMs=0", job.toString()).join();
      if (!answer.state().equals("accepted") && !answer.state().equals("running")) {
        throw new LoadException("expected a service to be accepted, got " + answer);
      }
    }
  }

  /** Submits for some time at an even rate. */
  void submitFor(int seconds) {
    if (point.startsPerSecond() == 0) {
      return;
    }
    long gapNs = NS_PER_SECOND * point.tasksPerJob() / point.startsPerSecond();
    long jobs = seconds * NS_PER_SECOND / gapNs;
    long startNs = System.nanoTime();
    for (long i = 0; i < jobs; i++) {
      long dueNs = startNs + i * gapNs;
      awaitNs(dueNs);
      submit(dueNs / NS_PER_MS);
    }
  }

  private static void awaitNs(long dueNs) {
    for (long leftNs = dueNs - System.nanoTime(); leftNs > 0; leftNs = dueNs - System.nanoTime()) {
      LockSupport.parkNanos(leftNs);
    }
  }

  private void submit(long dueMs) {
    String jobClass = CLASSES.get(sequence % CLASSES.size());
    String url = urls.get(sequence % urls.size()) + "/v1/jobs?waitMs=" + WAIT_MS;
    JsonObject job = job(jobClass, "batch", point.tasksPerJob(), TASK_MS);
    job.addProperty("repeatable", sequence % 2 == 0);
    answers.add(
        http.send("POST", url, job.toString())
            .handle((answer, failure) -> note(dueMs, jobClass, answer, failure)));
  }

  private boolean note(
      long dueMs, String jobClass, HttpCalls.@Nullable Answer answer, @Nullable Throwable failure) {
    states.merge(answer == null ? "no-answer" : answer.state(), 1L, Long::sum);
    if (answer != null && answer.body().has("jobId")) {
      String jobId = answer.body().get("jobId").getAsString();
      byJobId.put(jobId, new Submitted(dueMs, jobClass));
    }
    return failure == null;
  }

  private JsonObject job(String jobClass, String kind, int count, int sleepMs) {
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

  /** Waits until every submission has its answer. */
  void awaitAnswers() {
    CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]))
        .orTimeout(2L * WAIT_MS, TimeUnit.MILLISECONDS)
        .handle((done, failure) -> failure)
        .join();
  }

  /** Returns how many submissions ended in each state. */
  Map<String, Long> states() {
    return Map.copyOf(states);
  }

  /**
   * Returns by class how long jobs waited from the time they were due to their first start.
   *
   * @param firstStartsMs first starts by job
   * @param fromMs jobs due earlier are left out
   */
  Map<String, Histogram> waits(Map<String, Long> firstStartsMs, long fromMs) {
    Map<String, Histogram> waits = new HashMap<>();
    byJobId.forEach(
        (jobId, submitted) -> {
          Long startedMs = firstStartsMs.get(jobId);
          if (startedMs != null && submitted.dueMs() >= fromMs) {
            long waitMs = Math.max(0, startedMs - submitted.dueMs());
            waits
                .computeIfAbsent(
                    submitted.jobClass(), name -> new Histogram(HIGHEST_WAIT_MS, DIGITS))
                .recordValue(Math.min(waitMs, HIGHEST_WAIT_MS));
          }
        });
    return waits;
  }
}
