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

/** Sends HTTP requests and parses the JSON objects in the responses. */
final class JsonHttpClient {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(70);
  private static final int STATUS_OK = 200;

  /**
   * An HTTP response.
   *
   * @param status HTTP status code
   * @param body the JSON object in the body; empty if the body is not a JSON object
   */
  record Response(int status, JsonObject body) {
    String state() {
      return body.has("state") ? body.get("state").getAsString() : "status-" + status;
    }
  }

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  CompletableFuture<Response> send(String method, String url, String body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(url))
            .timeout(REQUEST_TIMEOUT)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .thenApply(response -> new Response(response.statusCode(), parse(response.body())));
  }

  JsonObject get(String url) throws LoadException {
    return call("GET", url, "");
  }

  JsonObject call(String method, String url, String body) throws LoadException {
    try {
      Response response = send(method, url, body).join();
      if (response.status() != STATUS_OK) {
        throw new LoadException("expected status 200 from " + url + ", got " + response);
      }
      return response.body();
    } catch (CompletionException e) {
      throw new LoadException("expected a response from " + url + ", got none", e);
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
