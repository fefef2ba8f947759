package org.hickorymoor.bench.load;

import com.google.gson.JsonObject;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Republishes the current configuration at a fixed rate. */
final class ConfigLoadGenerator implements AutoCloseable {

  private static final long MS_PER_MINUTE = 60_000;

  private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
  private final AtomicInteger accepted = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();
  private final JsonHttpClient http;
  private final String url;

  ConfigLoadGenerator(JsonHttpClient http, String url) {
    this.http = http;
    this.url = url;
  }

  void start(int configsPerMinute) {
    if (configsPerMinute > 0) {
      long periodMs = MS_PER_MINUTE / configsPerMinute;
      var unused =
          executor.scheduleAtFixedRate(this::publish, periodMs, periodMs, TimeUnit.MILLISECONDS);
    }
  }

  private void publish() {
    try {
      JsonObject current = http.get(url + "/v1/config");
      String query = "?expectedVersion=" + current.get("version").getAsLong();
      http.call("POST", url + "/v1/config" + query, current.get("record").toString());
      accepted.incrementAndGet();
    } catch (LoadException e) {
      failed.incrementAndGet();
    }
  }

  int accepted() {
    return accepted.get();
  }

  int failed() {
    return failed.get();
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
