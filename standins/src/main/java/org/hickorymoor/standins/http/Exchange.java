package org.hickorymoor.standins.http;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.jspecify.annotations.Nullable;

/**
 * One HTTP call and the way to answer it.
 *
 * <pre>{@code
 * AppendCommand command = exchange.body(AppendCommand.class);
 * exchange.reply(new AppendReply(stream.append(command.data())));
 * }</pre>
 *
 * <p>The answer may be given later and by another thread. Only the first answer counts; later ones
 * are ignored. Safe for use by several threads.
 */
public final class Exchange {

  private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();
  private static final int STATUS_OK = 200;

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final String body;
  private final AtomicBoolean answered = new AtomicBoolean();

  Exchange(Request request, Response response, Callback callback, String body) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.body = body;
  }

  /**
   * Returns the method and path, for example {@code "POST /v1/start"}.
   *
   * @return method and decoded path, with one space between
   */
  public String target() {
    return request.getMethod() + " " + path();
  }

  /**
   * Returns the HTTP method.
   *
   * @return the method in capitals
   */
  public String method() {
    return request.getMethod();
  }

  /**
   * Returns the path.
   *
   * @return the decoded path, without the query
   */
  public String path() {
    return Request.getPathInContext(request);
  }

  /**
   * Reads a number from the query.
   *
   * @param name name of the parameter
   * @param fallback value where the parameter is absent
   * @return the number
   * @throws MalformedCallException if the parameter is not a whole number
   */
  public long queryNumber(String name, long fallback) throws MalformedCallException {
    Fields fields = Request.extractQueryParameters(request);
    String text = fields.getValue(name);
    if (text == null) {
      return fallback;
    }
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new MalformedCallException(
          "expected a whole number for " + name + " at " + path() + ", got " + text, e);
    }
  }

  /**
   * Reads the body.
   *
   * @param type shape of the body
   * @param <T> shape of the body
   * @return the body
   * @throws MalformedCallException if the body is empty or has another shape
   */
  public <T> T body(Class<T> type) throws MalformedCallException {
    @Nullable T value;
    try {
      value = GSON.fromJson(body, type);
    } catch (JsonParseException e) {
      throw new MalformedCallException(expectedBody(type) + ", got: " + e.getMessage(), e);
    } catch (RuntimeException e) {
      // Gson wraps nothing that a record's compact constructor throws on an absent field.
      throw new MalformedCallException(expectedBody(type) + ", got one with fields absent", e);
    }
    if (value == null) {
      throw new MalformedCallException(expectedBody(type) + ", got none");
    }
    return value;
  }

  /**
   * Answers with status 200.
   *
   * @param reply body, written as JSON
   */
  public void reply(Object reply) {
    send(STATUS_OK, reply);
  }

  /**
   * Answers that the call was refused.
   *
   * @param status HTTP status
   * @param type name of the kind of failure
   * @param message what was expected, what came and where
   */
  public void refuse(int status, String type, String message) {
    send(status, new ErrorReply(new ErrorReply.Detail(type, message)));
  }

  /** Closes the connection without an answer. */
  public void drop() {
    if (answered.compareAndSet(false, true)) {
      request.getConnectionMetaData().getConnection().getEndPoint().close();
      callback.failed(new IOException("reply dropped on purpose"));
    }
  }

  private void send(int status, Object reply) {
    if (answered.compareAndSet(false, true)) {
      response.setStatus(status);
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
      Content.Sink.write(response, true, GSON.toJson(reply), callback);
    }
  }

  private String expectedBody(Class<?> type) {
    return "expected a JSON body of the fields of " + type.getSimpleName() + " at " + path();
  }
}
