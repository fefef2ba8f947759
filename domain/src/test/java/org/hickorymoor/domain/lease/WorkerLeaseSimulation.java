package org.hickorymoor.domain.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.hickorymoor.domain.lease.WorkerLease.State;

/**
 * Deterministic simulation of three hosts competing for one worker. Requests and replies may be
 * delayed or lost, and hosts may pause between any two steps.
 */
final class WorkerLeaseSimulation {

  private static final LeaseSettings SETTINGS = new LeaseSettings(1_000, 50);
  private static final int HOSTS = 3;
  private static final long END_MS = 60_000;
  private static final long TIMEOUT_MS = 300;

  /** A period in which a host held the worker, from its list to the deadline of its commands. */
  record Period(int host, long listedMs, long commandDeadlineMs) {}

  private record Event(long atMs, long order, Runnable action) {}

  private final SplittableRandom random;
  private final boolean checkOtherLeases;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
  private final Map<String, Long> leases = new HashMap<>();
  private final List<Period> periods = new ArrayList<>();
  private long nowMs;
  private long order;

  WorkerLeaseSimulation(long seed, boolean checkOtherLeases) {
    this.random = new SplittableRandom(seed);
    this.checkOtherLeases = checkOtherLeases;
  }

  List<Period> run() {
    for (int host = 0; host < HOSTS; host++) {
      new Host(host).later(random.nextLong(500));
    }
    while (!events.isEmpty() && nowMs < END_MS) {
      Event event = events.remove();
      nowMs = event.atMs();
      event.action().run();
    }
    return periods;
  }

  private void at(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, order++, action));
  }

  /** Returns a delay that is usually short and sometimes longer than a lease. */
  private long delayMs() {
    return random.nextInt(20) == 0 ? random.nextLong(3_000) : random.nextLong(60);
  }

  private boolean lost() {
    return random.nextInt(12) == 0;
  }

  private final class Host {
    private final int number;
    private WorkerLease lease = new WorkerLease(SETTINGS);
    private int placed;
    private long call;
    private long heldSinceMs = -1;

    private Host(int number) {
      this.number = number;
    }

    private void later(long delayMs) {
      at(delayMs, this::step);
    }

    private void step() {
      switch (lease.state()) {
        case FREE -> place();
        case PLACED, HELD -> sync();
        default -> release();
      }
    }

    private void place() {
      String id = number + ":" + placed++;
      lease.placed(id);
      placedMs = nowMs;
      call(() -> leases.put(id, nowMs + SETTINGS.leaseMs()), () -> later(delayMs()));
    }

    private long placedMs;

    private void sync() {
      String id = lease.leaseTaskId();
      boolean first = lease.state() == State.PLACED;
      long sentMs = first ? placedMs : nowMs;
      long notAfterMs = first ? Long.MAX_VALUE : lease.commandDeadlineMs();
      LeaseView[] view = new LeaseView[1];
      long[] listedMs = new long[1];
      call(
          () -> {
            listedMs[0] = nowMs;
            view[0] = view(id, first, notAfterMs);
          },
          () -> {
            if (view[0] != null) {
              listed(sentMs, view[0], listedMs[0]);
            } else if (first) {
              lease.withdraw();
            }
            later(delayMs());
          });
    }

    /** Handles a sync on the worker: renews the lease if it is active, then lists all leases. */
    private LeaseView view(String id, boolean first, long notAfterMs) {
      leases.values().removeIf(until -> until <= nowMs);
      if (!first && nowMs <= notAfterMs) {
        leases.computeIfPresent(id, (key, until) -> nowMs + SETTINGS.leaseMs());
      }
      boolean own = leases.containsKey(id);
      boolean others = checkOtherLeases && leases.keySet().stream().anyMatch(k -> !k.equals(id));
      return new LeaseView(own, leases.getOrDefault(id, 0L), others);
    }

    private void listed(long sentMs, LeaseView view, long listedMs) {
      boolean held = lease.state() == State.HELD;
      lease.listed(sentMs, view);
      if (lease.state() == State.HELD) {
        heldSinceMs = held ? heldSinceMs : listedMs;
        periods.add(new Period(number, heldSinceMs, lease.commandDeadlineMs()));
      } else if (lease.state() == State.FREE) {
        lease = new WorkerLease(SETTINGS);
      }
    }

    private void release() {
      String id = lease.leaseTaskId();
      boolean[] done = new boolean[1];
      call(
          () -> {
            leases.remove(id);
            done[0] = true;
          },
          () -> {
            if (done[0]) {
              lease.markRemoved();
            }
            later(delayMs());
          });
    }

    /** Delivers a call to the worker and its reply back; either may be lost or delayed. */
    private void call(Runnable onWorker, Runnable answered) {
      long callNumber = ++call;
      Runnable once =
          () -> {
            if (callNumber == call) {
              call++;
              answered.run();
            }
          };
      if (!lost()) {
        at(
            delayMs(),
            () -> {
              // The caller has timed out: the call still takes effect, but its reply is dropped.
              if (callNumber != call) {
                onWorker.run();
                return;
              }
              onWorker.run();
              if (!lost()) {
                at(delayMs(), once);
              }
            });
      }
      at(TIMEOUT_MS, once);
    }
  }
}
