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

/** Calls a stand-in over HTTP with JSON bodies. */
public final class HttpCaller {

  private static final Gson GSON = new Gson();
  private static final long TIMEOUT_S = 60;

  private final HttpClient client = new HttpClient();
  private final String address;

  /** Makes the caller of one address. */
  public HttpCaller(String address) {
    this.address = address;
  }

  /** Starts the client. */
  public void start() throws Exception {
    client.start();
  }

  /** Stops the client. */
  public void stop() throws Exception {
    client.stop();
  }

  /** Returns the status and body of an answer to a GET. */
  public ContentResponse getRaw(String path) throws Exception {
    return send(HttpMethod.GET, path, null);
  }

  /** Returns the status and body of an answer to a POST of the body as JSON. */
  public ContentResponse postRaw(String path, Object body) throws Exception {
    return send(HttpMethod.POST, path, body);
  }

  /** Returns the answer to a GET in a shape. */
  public <T> T get(String path, Class<T> type) throws Exception {
    return read(getRaw(path), type);
  }

  /** Returns the answer to a POST in a shape. */
  public <T> T post(String path, Object body, Class<T> type) throws Exception {
    return read(postRaw(path, body), type);
  }

  /** Posts without waiting for the answer. */
  public <T> CompletableFuture<T> postLater(String path, Object body, Class<T> type) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return post(path, body, type);
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        });
  }

  /** Gets without waiting for the answer. */
  public <T> CompletableFuture<T> getLater(String path, Class<T> type) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return get(path, type);
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        });
  }

  /** Returns the answer to a call of any method. */
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
