import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The advice service; approves each worker for each step. */
final class Advice {
  private static final Pattern WORKERS = Pattern.compile("\"workers\":\\[([^\\]]*)\\]");
  private static final double DECISION_MS = 34.0;
  private static final double PER_WORKER_MS = 0.34;
  private final HttpServer server;
  private final Recorder recorder;

  Advice(Recorder recorder) throws IOException {
    this.recorder = recorder;
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
    server.setExecutor(Executors.newCachedThreadPool(Lab::daemonThread));
    server.createContext("/api/advise", this::advise);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private void advise(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes());
    Matcher named = WORKERS.matcher(body);
    StringBuilder rows = new StringBuilder();
    int count = 0;
    if (named.find()) {
      for (String id : named.group(1).split(",")) {
        rows.append(count++ == 0 ? "" : ",").append("[").append(id).append(",\"t\"]");
      }
    }
    recorder.note("advice: asked for " + Lab.text(body, "step") + ", " + count + " workers");
    Lab.sleep(Math.round(DECISION_MS + PER_WORKER_MS * count));
    Lab.reply(exchange, 200, "{\"approved\":[" + rows + "],\"validity_ms\":2500}");
  }
}
