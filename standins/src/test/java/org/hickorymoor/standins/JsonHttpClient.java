package org.hickorymoor.standins;

import com.google.gson.Gson;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;

/** HTTP client for the JSON API of a stand-in. */
public final class JsonHttpClient {

  private static final Gson GSON = new Gson();
  private static final long TIMEOUT_S = 60;

  private final HttpClient client = new HttpClient();
  private final String address;

  /** Creates a client for one address. */
  public JsonHttpClient(String address) {
    this.address = address;
  }

  /** Starts the underlying HTTP client. */
  public void start() throws Exception {
    client.start();
  }

  /** Stops the underlying HTTP client. */
  public void stop() throws Exception {
    client.stop();
  }

  /**
   * Closes the pooled connections. After a restart of the server, a request on one of them may be
   * sent before its end is noticed; a POST is then not repeated.
   */
  public void closeIdleConnections() throws Exception {
    client.stop();
    client.start();
  }

  /** Sends a GET request and returns the unparsed response. */
  public ContentResponse getRaw(String path) throws Exception {
    return send(HttpMethod.GET, path, null);
  }

  /** Sends a POST request with a JSON body and returns the unparsed response. */
  public ContentResponse postRaw(String path, Object body) throws Exception {
    return send(HttpMethod.POST, path, body);
  }

  /** Sends a GET request and parses the response. */
  public <T> T get(String path, Class<T> type) throws Exception {
    return read(getRaw(path), type);
  }

  /** Sends a POST request and parses the response. */
  public <T> T post(String path, Object body, Class<T> type) throws Exception {
    return read(postRaw(path, body), type);
  }

  /** Sends a POST request asynchronously. */
  public <T> CompletableFuture<T> postAsync(String path, Object body, Class<T> type) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return post(path, body, type);
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        });
  }

  /** Sends a GET request asynchronously. */
  public <T> CompletableFuture<T> getAsync(String path, Class<T> type) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return get(path, type);
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        });
  }

  /** Sends a request with any method and an optional JSON body. */
  public ContentResponse send(HttpMethod method, String path, Object body) throws Exception {
    Request request =
        client
            .newRequest("http://" + address + path)
            .method(method)
            .timeout(TIMEOUT_S, TimeUnit.SECONDS);
    if (body != null) {
      request.body(new StringRequestContent("application/json", GSON.toJson(body)));
    }
    try {
      return request.send();
    } catch (ExecutionException e) {
      throw e.getCause() instanceof Exception cause ? cause : e;
    }
  }

  private static <T> T read(ContentResponse response, Class<T> type) {
    return GSON.fromJson(response.getContentAsString(), type);
  }
}
