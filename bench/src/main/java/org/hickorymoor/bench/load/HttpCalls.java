package org.hickorymoor.bench.load;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonSyntaxException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Calls processes over HTTP with JSON bodies. */
final class HttpCalls {

  private static final Duration LIMIT = Duration.ofSeconds(70);
  private static final int STATUS_OK = 200;

  /**
   * An answer.
   *
   * @param status HTTP status
   * @param body what came with it
   */
  record Answer(int status, JsonObject body) {
    String state() {
      return body.has("state") ? body.get("state").getAsString() : "status-" + status;
    }
  }

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  CompletableFuture<Answer> send(String method, String url, String body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(url))
            .timeout(LIMIT)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .thenApply(response -> new Answer(response.statusCode(), parse(response.body())));
  }

  JsonObject get(String url) throws LoadException {
    return call("GET", url, "");
  }

  JsonObject call(String method, String url, String body) throws LoadException {
    try {
      Answer answer = send(method, url, body).join();
      if (answer.status() != STATUS_OK) {
        throw new LoadException("expected status 200 from " + url + ", got " + answer);
      }
      return answer.body();
    } catch (CompletionException e) {
      throw new LoadException("expected an answer from " + url + ", got none", e);
    }
  }

  private static JsonObject parse(String body) {
    try {
      return JsonParser.parseString(body).getAsJsonObject();
    } catch (JsonSyntaxException | IllegalStateException e) {
      return new JsonObject();
    }
  }
}
