package org.hickorymoor.daemon.peer;

import com.codahale.metrics.MetricRegistry;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.peer.PeerRequest.SubmitJob;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.TaskStatus;

/**
 * Measures the cost of the transport and prints it: bytes, CPU time and heap per idle connection,
 * and bytes and CPU time per status exchange and per submitted job.
 */
final class PeerTransportBenchmark {

  private static final int CONNECTIONS = 50;
  private static final long IDLE_MS = 30_000;
  private static final int WARM_UP_CALLS = 20_000;
  private static final int CALLS = 20_000;
  private static final int BATCH = 100;
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private final PeerSettings settings;
  private final MetricRegistry metrics = new MetricRegistry();

  private PeerTransportBenchmark(PeerSettings settings) {
    this.settings = settings;
  }

  /** Runs all benchmarks. */
  public static void main(String[] args) throws Exception {
    PeerSettings settings = PeerSettings.defaults("kano", "north");
    new PeerTransportBenchmark(settings).idle();
    new PeerTransportBenchmark(settings).status();
    for (int version = BodyVersion.OLDEST; version <= BodyVersion.NEWEST; version++) {
      for (int payloadBytes : new int[] {100, 4_000}) {
        new PeerTransportBenchmark(settings.withMaxVersion(version)).submit(payloadBytes);
      }
    }
  }

  private void idle() throws Exception {
    PeerServer server = new PeerServer("127.0.0.1:0", PeerFixture.doneHandler(), settings, metrics);
    server.start();
    long heapBeforeBytes = usedHeapBytes();
    List<PeerClient> clients = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS; i++) {
      PeerClient client = new PeerClient(settings, metrics);
      client.start();
      client.call(server.address(), new PeerRequest.ListWorkers(), 5_000).get();
      clients.add(client);
    }
    long heapBytes = usedHeapBytes() - heapBeforeBytes;
    long bytes = bytes("client.sent") + bytes("client.received");
    long cpuNs = cpuNs("peer-server");
    Thread.sleep(IDLE_MS);
    print(
        "idle connection: %.2f B/s both directions, %.1f us/s of the server's thread, heap of both"
            + " ends with one client each %d B",
        (bytes("client.sent") + bytes("client.received") - bytes)
            / (CONNECTIONS * IDLE_MS / 1_000.0),
        (cpuNs("peer-server") - cpuNs) / 1_000.0 / (CONNECTIONS * IDLE_MS / 1_000.0),
        heapBytes / CONNECTIONS);
    clients.forEach(PeerClient::stop);
    server.stop();
  }

  private void status() throws Exception {
    PeerRequest.Status status = new PeerRequest.Status("e1", "i1", "kano", true, 33, 42, false);
    PeerReply reply = new PeerReply.StatusReply(status);
    PeerHandler handler = request -> CompletableFuture.completedFuture(reply);
    PeerServer server = new PeerServer("127.0.0.1:0", handler, settings, metrics);
    server.start();
    PeerClient client = new PeerClient(settings, metrics);
    client.start();
    for (int i = 0; i < CALLS; i++) {
      client.call(server.address(), status, 10_000).get(1, TimeUnit.MINUTES);
    }
    print(
        "status exchange: sent %.1f B, received %.1f B, client thread %.1f us, server thread %.1f"
            + " us",
        bytes("client.sent.status") / (double) CALLS,
        bytes("client.received.status") / (double) CALLS,
        cpuNs("peer-client") / 1_000.0 / CALLS,
        cpuNs("peer-server") / 1_000.0 / CALLS);
    client.stop();
    server.stop();
  }

  private void submit(int payloadBytes) throws Exception {
    PeerServer server =
        new PeerServer("127.0.0.1:0", PeerTransportBenchmark::answer, settings, metrics);
    server.start();
    PeerClient client = new PeerClient(settings, metrics);
    client.start();
    submit(client, server, payloadBytes, WARM_UP_CALLS);
    final long sentBytes = bytes("client.sent.submit-job");
    final long receivedBytes = bytes("client.received.submit-job");
    final long clientNs = cpuNs("peer-client");
    final long serverNs = cpuNs("peer-server");
    submit(client, server, payloadBytes, CALLS);
    print(
        "submit, version %d, payload %d B: sent %.1f B, received %.1f B, client thread %.1f us,"
            + " server thread %.1f us",
        settings.maxVersion(),
        payloadBytes,
        (bytes("client.sent.submit-job") - sentBytes) / (double) CALLS,
        (bytes("client.received.submit-job") - receivedBytes) / (double) CALLS,
        (cpuNs("peer-client") - clientNs) / 1_000.0 / CALLS,
        (cpuNs("peer-server") - serverNs) / 1_000.0 / CALLS);
    client.stop();
    server.stop();
  }

  private static void submit(PeerClient client, PeerServer server, int payloadBytes, int calls)
      throws Exception {
    for (int i = 0; i < calls / BATCH; i++) {
      List<CompletableFuture<PeerReply>> batch = new ArrayList<>();
      for (int j = 0; j < BATCH; j++) {
        String jobId = "e1-" + (i * BATCH + j);
        String payload = payload(payloadBytes, jobId);
        SubmitJob submit = new SubmitJob(jobId, "e1", PeerFixture.spec(payload), 1_000);
        batch.add(client.call(server.address(), submit, 10_000));
      }
      CompletableFuture.allOf(batch.toArray(CompletableFuture<?>[]::new)).get(1, TimeUnit.MINUTES);
    }
  }

  /** Creates a compressible payload that repeats its field names, as JSON does. */
  private static String payload(int bytes, String jobId) {
    StringBuilder payload = new StringBuilder();
    while (payload.length() < bytes) {
      payload.append("{\"plate\":\"").append(jobId).append("-").append(payload.length());
      payload.append("\",\"sleepMs\":100}");
    }
    return payload.substring(0, bytes);
  }

  private static CompletableFuture<PeerReply> answer(PeerRequest request) {
    SubmitJob submit = (SubmitJob) request;
    TaskStatus task = new TaskStatus(0, JobState.DONE, "w-17", 1, 0, "swatch ready");
    return CompletableFuture.completedFuture(
        new PeerReply.JobReply(
            new JobAnswer(
                submit.spec().request(),
                submit.jobId(),
                JobState.DONE,
                Reason.NONE,
                0,
                List.of(task))));
  }

  private long bytes(String prefix) {
    return metrics.getCounters((name, metric) -> isTraffic(name, prefix)).values().stream()
        .mapToLong(counter -> counter.getCount())
        .sum();
  }

  private static boolean isTraffic(String name, String prefix) {
    return name.startsWith("peer." + prefix + ".")
        && name.endsWith(".bytes")
        && !name.contains(".link.");
  }

  private static long cpuNs(String threadName) {
    return Arrays.stream(THREADS.getThreadInfo(THREADS.getAllThreadIds()))
        .filter(thread -> thread != null && thread.getThreadName().equals(threadName))
        .mapToLong(thread -> THREADS.getThreadCpuTime(thread.getThreadId()))
        .sum();
  }

  private static long usedHeapBytes() throws InterruptedException {
    for (int i = 0; i < 3; i++) {
      System.gc();
      Thread.sleep(200);
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static void print(String format, Object... arguments) {
    System.out.println(String.format(Locale.ROOT, format, arguments));
  }
}
