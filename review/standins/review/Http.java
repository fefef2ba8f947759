package review;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Helpers for HTTP servers of stand-ins. */
final class Http {

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.idleInterval", "300");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "1000");
  }

  static final String LOOPBACK = "127.0.0.1";

  /** Daemon threads: each waiting call takes one. */
  static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "stand-in");
            thread.setDaemon(true);
            return thread;
          });

  /** Handles a call and answers it. */
  interface Handler {
    void handle(HttpExchange call) throws IOException, InterruptedException;
  }

  private Http() {}

  static HttpServer listen(int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(LOOPBACK, port), 512);
    server.setExecutor(THREADS);
    server.createContext(
        "/",
        call -> {
          try {
            handler.handle(call);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          } finally {
            call.close();
          }
        });
    server.start();
    return server;
  }

  static Map<String, String> query(HttpExchange call) {
    Map<String, String> fields = new HashMap<>();
    String query = call.getRequestURI().getRawQuery();
    if (query != null) {
      for (String field : query.split("&")) {
        int equals = field.indexOf('=');
        fields.put(
            field.substring(0, equals), URLDecoder.decode(field.substring(equals + 1), UTF_8));
      }
    }
    return fields;
  }

  static JsonObject body(HttpExchange call) throws IOException {
    byte[] bytes = call.getRequestBody().readAllBytes();
    return JsonParser.parseString(new String(bytes, UTF_8)).getAsJsonObject();
  }

  static void answer(HttpExchange call, int status, JsonObject body) throws IOException {
    call.getResponseHeaders().set("Content-Type", "application/json");
    answer(call, status, body.toString().getBytes(UTF_8));
  }

  static void answer(HttpExchange call, int status, byte[] body) throws IOException {
    call.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    call.getResponseBody().write(body);
    call.getResponseBody().close();
  }
}
