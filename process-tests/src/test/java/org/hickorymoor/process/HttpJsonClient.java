package org.hickorymoor.process;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** HTTP client for the JSON API of daemons, workers and stand-ins. */
final class HttpJsonClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(90);

  /**
   * Response to a call.
   *
   * @param status HTTP status
   * @param body JSON body; text that is not JSON is wrapped in a {@code text} field
   */
  record Reply(int status, JsonObject body) {
    String state() {
      JsonElement state = body.get("state");
      return state == null ? "" : state.getAsString();
    }

    String reason() {
      JsonObject reason = body.getAsJsonObject("reason");
      return reason == null ? "" : reason.get("type").getAsString();
    }

    String output(int task) {
      return task(task).get("output").getAsString();
    }

    String workerId(int task) {
      return task(task).get("workerId").getAsString();
    }

    String jobId() {
      return body.get("jobId").getAsString();
    }

    private JsonObject task(int index) {
      return body.getAsJsonArray("tasks").get(index).getAsJsonObject();
    }
  }

  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(5)).build();

  CompletableFuture<Reply> sendAsync(String method, String url, String body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(url))
            .timeout(TIMEOUT)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .thenApply(response -> new Reply(response.statusCode(), parse(response.body())));
  }

  Reply send(String method, String url, String body) {
    return sendAsync(method, url, body).join();
  }

  /** Sends a request; returns empty if it failed with an I/O error. */
  Optional<Reply> trySend(String method, String url, String body) {
    try {
      return Optional.of(send(method, url, body));
    } catch (RuntimeException e) {
      boolean broken = e.getCause() instanceof IOException;
      if (!broken) {
        throw e;
      }
      return Optional.empty();
    }
  }

  private static JsonObject parse(String body) {
    try {
      return JsonParser.parseString(body).getAsJsonObject();
    } catch (RuntimeException e) {
      JsonObject text = new JsonObject();
      text.addProperty("text", body);
      return text;
    }
  }
}
