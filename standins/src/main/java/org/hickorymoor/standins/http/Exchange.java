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
 * An HTTP request and its pending reply.
 *
 * <pre>{@code
 * AppendCommand command = exchange.body(AppendCommand.class);
 * exchange.reply(new AppendReply(stream.append(command.data())));
 * }</pre>
 *
 * <p>The reply may be sent later and from another thread. Only the first reply is sent; later ones
 * are ignored. Thread-safe.
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
   * @return method and decoded path, separated by one space
   */
  public String target() {
    return request.getMethod() + " " + path();
  }

  /**
   * Returns the HTTP method.
   *
   * @return the method in upper case
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
   * Parses a number from the query string.
   *
   * @param name name of the parameter
   * @param fallback value if the parameter is absent
   * @return the number
   * @throws MalformedRequestException if the parameter is not a whole number
   */
  public long queryNumber(String name, long fallback) throws MalformedRequestException {
    Fields fields = Request.extractQueryParameters(request);
    String text = fields.getValue(name);
    if (text == null) {
      return fallback;
    }
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new MalformedRequestException(
          "expected a whole number for " + name + " at " + path() + ", got " + text, e);
    }
  }

  /**
   * Parses the JSON body.
   *
   * @param type type of the body
   * @param <T> type of the body
   * @return the body
   * @throws MalformedRequestException if the body is empty or does not match the type
   */
  public <T> T body(Class<T> type) throws MalformedRequestException {
    @Nullable T value;
    try {
      value = GSON.fromJson(body, type);
    } catch (JsonParseException e) {
      throw new MalformedRequestException(expectedBody(type) + ", got: " + e.getMessage(), e);
    } catch (RuntimeException e) {
      // Gson passes on unwrapped whatever a record's compact constructor throws for an absent
      // field.
      throw new MalformedRequestException(expectedBody(type) + ", got one with fields absent", e);
    }
    if (value == null) {
      throw new MalformedRequestException(expectedBody(type) + ", got none");
    }
    return value;
  }

  /**
   * Replies with status 200.
   *
   * @param reply body, written as JSON
   */
  public void reply(Object reply) {
    send(STATUS_OK, reply);
  }

  /**
   * Replies with an error.
   *
   * @param status HTTP status
   * @param type name of the error type
   * @param message what was expected, what was received and where
   */
  public void replyError(int status, String type, String message) {
    send(status, new ErrorReply(new ErrorReply.Detail(type, message)));
  }

  /** Closes the connection without a reply. */
  public void closeWithoutReply() {
    if (answered.compareAndSet(false, true)) {
      request.getConnectionMetaData().getConnection().getEndPoint().close();
      callback.failed(new IOException("connection closed without a reply by an injected fault"));
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
    return "expected a JSON body with the fields of " + type.getSimpleName() + " at " + path();
  }
}
