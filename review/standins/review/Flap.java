package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * One of ten workers goes down and up by turns while jobs arrive at the usual rate. No task fails by
 * itself. Fails if an accepted job that nobody has cancelled is shown as failed.
 */
final class Flap {

  private static final int WORKERS = 10;
  private static final int MAX_ATTEMPTS = 4;

  /** Kinds of jobs of the site, at the rate for this number of workers. */
  private static final double SHORT_JOBS_PER_S = 2.84;

  private static final double LONG_JOBS_PER_S = 0.32;

  /** The worker goes down and up by turns three times, with calm times between. */
  private static final long[] FLAPS_AT_MS = {12_000, 40_000, 68_000};

  private static final long PERIOD_MS = 1_400;
  private static final long FLAP_MS = 6_500;
  private static final long TRAFFIC_END_MS = 78_000;
  private static final long FINISH_MS = 14_000;

  private Flap() {}

  static int run(Path recordFile, Path folder) throws Exception {
    try (Rig rig = new Rig(recordFile, folder)) {
      Record record = rig.record;
      rig.configure(1, MAX_ATTEMPTS, 1);
      for (int i = 0; i < WORKERS; i++) {
        rig.workers.add(
            new Worker(
                record, rig.store, "i-7f3a91c" + i, "kaduna-a", "r1-" + i / 8, 16_000, 65_536,
                Flap::workMs));
      }
      rig.startHosts(3);
      List<String> accepted = Collections.synchronizedList(new ArrayList<>());
      List<Thread> clients = new ArrayList<>();
      clients.add(client(rig, accepted, '5', SHORT_JOBS_PER_S, job(6, 1_300, 2_000, 800)));
      clients.add(client(rig, accepted, 'b', LONG_JOBS_PER_S, job(10, 2_700, 4_000, 4_800)));
      if (Rig.hasTrouble()) {
        for (long flapAtMs : FLAPS_AT_MS) {
          flap(record, rig.workers.get(rig.random.nextInt(WORKERS)), flapAtMs);
        }
      }
      for (Thread thread : clients) {
        thread.join();
      }
      Thread.sleep(FINISH_MS);
      boolean broken = false;
      int unfinished = 0;
      for (String id : accepted) {
        String state = rig.state(id);
        if (state.equals("failed") || state.equals("cancelled")) {
          List<Record.Run> runs =
              record.runs().stream().filter(run -> run.job().equals(id)).toList();
          long failed = runs.stream().filter(run -> run.how.equals("failed")).count();
          runs.forEach(run -> record.log("run: %s", run));
          record.log(
              "job %s is shown as %s, %d of its runs ended failed, %d attempts are allowed",
              id, state, failed, MAX_ATTEMPTS);
          if (failed < MAX_ATTEMPTS) {
            record.log("LOST: job %s is shown as %s without cause", id, state);
            broken = true;
          }
        } else if (!state.equals("completed")) {
          unfinished++;
        }
      }
      record.log(
          "%d jobs accepted, %d runs, %d jobs unfinished",
          accepted.size(), record.runs().size(), unfinished);
      return accepted.isEmpty() ? 2 : broken ? 1 : 0;
    }
  }

  private static void flap(Record record, Worker worker, long flapAtMs) throws Exception {
    for (long atMs = flapAtMs; atMs < flapAtMs + FLAP_MS; atMs += PERIOD_MS) {
      Rig.sleepUntil(record, atMs);
      worker.crash();
      Rig.sleepUntil(record, atMs + PERIOD_MS / 2);
      worker.restart();
    }
  }

  /** Jobs whose id begins with b have long tasks. */
  private static long workMs(String task) {
    return task.charAt(0) == 'b' ? 4_800 : 800;
  }

  private static String job(int count, int cpu, int memoryMb, long estimatedMs) {
    String step =
        "{\"count\":%d,\"cpu\":%d,\"mem_mb\":%d,\"estimated_ms\":%d"
            .formatted(count, cpu, memoryMb, estimatedMs);
    return "{\"spec\":\"s\",\"steps\":[" + step + "}," + step + ",\"after\":[0]}]}";
  }

  /** Hands in jobs whose id begins with a digit, which tells the kinds apart. */
  private static Thread client(
      Rig rig, List<String> accepted, char digit, double perSecond, String body) {
    Thread thread =
        new Thread(
            () -> {
              try {
                while (rig.record.nowMs() < TRAFFIC_END_MS) {
                  String id = digit + rig.newId().substring(1);
                  Http.THREADS.execute(
                      () -> {
                        try {
                          if (rig.submit(id, body)) {
                            accepted.add(id);
                          }
                        } catch (InterruptedException e) {
                          Thread.currentThread().interrupt();
                        }
                      });
                  Thread.sleep(Math.round(1_000 / perSecond * (0.5 + rig.random.nextDouble())));
                }
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    thread.start();
    return thread;
  }
}
