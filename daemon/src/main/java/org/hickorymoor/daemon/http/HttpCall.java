package org.hickorymoor.daemon.http;

import java.util.List;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.hickorymoor.protocol.caller.CallerJson;
import org.hickorymoor.protocol.caller.ErrorBody;
import org.hickorymoor.protocol.caller.ErrorTypes;
import org.jspecify.annotations.Nullable;

/** An HTTP request together with its response, which is sent exactly once, from any thread. */
final class HttpCall {

  static final int OK = 200;
  static final int ACCEPTED = 202;
  static final int BAD_REQUEST = 400;
  static final int NOT_FOUND = 404;
  static final int CONFLICT = 409;
  static final int CONTENT_TOO_LARGE = 413;
  static final int TOO_MANY_REQUESTS = 429;
  static final int INTERNAL_SERVER_ERROR = 500;
  static final int UNAVAILABLE = 503;

  private static final String ACTOR_HEADER = "Hickorymoor-Actor";
  private static final String ANONYMOUS = "anonymous";
  private static final long MS_PER_S = 1_000;

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final String body;
  private final List<String> path;

  HttpCall(Request request, Response response, Callback callback, String body) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.body = body;
    String text = Request.getPathInContext(request);
    this.path = List.of(text.substring(1).split("/", -1));
  }

  String method() {
    return request.getMethod();
  }

  /** Returns the path, split at slashes. */
  List<String> path() {
    return path;
  }

  String body() {
    return body;
  }

  String actor() {
    String actor = request.getHeaders().get(ACTOR_HEADER);
    return actor == null || actor.isBlank() ? ANONYMOUS : actor;
  }

  @Nullable String query(String name) {
    Fields fields = Request.extractQueryParameters(request);
    return fields.getValue(name);
  }

  /**
   * Returns a non-negative integer from the query, capped at {@code max}, or the default value if
   * the parameter is absent.
   */
  long queryNumber(String name, long defaultValue, long max) throws BadRequestException {
    String text = query(name);
    if (text == null) {
      return defaultValue;
    }
    try {
      long value = Long.parseLong(text);
      if (value >= 0) {
        return Math.min(value, max);
      }
    } catch (NumberFormatException e) {
      throw new BadRequestException(expected(name, text), e);
    }
    throw new BadRequestException(expected(name, text), null);
  }

  private static String expected(String name, String got) {
    return "query parameter " + name + ": expected a non-negative integer, got " + got;
  }

  void setRetryAfter(long retryAfterMs) {
    if (retryAfterMs > 0) {
      long seconds = (retryAfterMs + MS_PER_S - 1) / MS_PER_S;
      response.getHeaders().put(HttpHeader.RETRY_AFTER, seconds);
    }
  }

  void reply(int status, Object answer) {
    send(status, "application/json", CallerJson.toJson(answer));
  }

  void replyText(int status, String text) {
    send(status, "text/plain", text);
  }

  void replyError(int status, String type, String message) {
    reply(status, ErrorBody.of(type, message));
  }

  void replyUnknownPath() {
    String message = "no resource at " + method() + " /" + String.join("/", path);
    replyError(NOT_FOUND, ErrorTypes.UNKNOWN_PATH, message + "; see docs/API.md");
  }

  private void send(int status, String contentType, String text) {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
    Content.Sink.write(response, true, text, callback);
  }
}
