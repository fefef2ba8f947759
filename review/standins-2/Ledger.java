import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What the workers saw: which runs are at work, which tasks have ended. */
class Ledger implements Worker.Listener {
  private final Recorder recorder;
  private final boolean verbose;
  private final Map<String, Map<Integer, String>> running = new HashMap<>();
  private final Set<String> done = new HashSet<>();
  private final List<String> overlaps = new ArrayList<>();
  private final Map<String, Integer> startsOfJob = new HashMap<>();
  private final Map<String, Integer> doneOfJob = new HashMap<>();
  private long starts;

  Ledger(Recorder recorder, boolean verbose) {
    this.recorder = recorder;
    this.verbose = verbose;
  }

  @Override
  public synchronized void onStart(Worker worker, String task, int run) {
    starts++;
    startsOfJob.merge(job(task), 1, Integer::sum);
    Map<Integer, String> others = running.computeIfAbsent(task, unused -> new HashMap<>());
    if (!others.isEmpty()) {
      String what = task + " run " + run + " starts on " + worker.id + " beside " + others;
      overlaps.add(what);
      recorder.note("TWICE at the same time: " + what);
    }
    others.put(run, worker.id);
    if (verbose) {
      recorder.note("worker " + worker.id + " starts " + task + " run " + run);
    }
  }

  @Override
  public synchronized void onEnd(Worker worker, String task, int run, String how) {
    Map<Integer, String> others = running.getOrDefault(task, new HashMap<>());
    others.remove(run);
    if (how.equals("done") && done.add(task)) {
      doneOfJob.merge(job(task), 1, Integer::sum);
    }
    if (verbose) {
      recorder.note("worker " + worker.id + " ends " + task + " run " + run + ": " + how);
    }
  }

  private static String job(String task) {
    return task.substring(0, task.indexOf('.'));
  }

  synchronized List<String> overlaps() {
    return List.copyOf(overlaps);
  }

  synchronized int startsOf(String job) {
    return startsOfJob.getOrDefault(job, 0);
  }

  synchronized int doneOf(String job) {
    return doneOfJob.getOrDefault(job, 0);
  }

  synchronized long starts() {
    return starts;
  }
}
