package org.hickorymoor.domain.workload;

import java.util.Collection;

/**
 * CPU capacity that less urgent tasks leave free on each worker for the most urgent priority.
 *
 * <p>A task takes a worker that leaves the headroom free. Where there is none, it may still start
 * in the headroom if it would otherwise wait for tasks that never end, or if the service has enough
 * free capacity for urgent tasks elsewhere.
 */
public final class UrgentHeadroom {

  /** Share of a worker's CPU capacity that is reserved for the most urgent priority, 0. */
  private static final double SHARE = 0.06;

  /**
   * Share of a service's CPU capacity in use from which the headroom is kept. With less in use,
   * urgent tasks find capacity on other workers.
   */
  private static final double BUSY_SHARE = 0.6;

  private UrgentHeadroom() {}

  /**
   * Returns what must remain free beside a task. A task that can't leave the headroom beside the
   * runs that last leaves less once no other runs are on the worker, as it would never fit
   * otherwise.
   *
   * @param priority priority of the task's queue
   * @param spec step of the task
   * @param worker the worker
   * @return thousandths of a core
   */
  public static int keepFreeCpuMillis(int priority, StepSpec spec, WorkerAllocation worker) {
    return worker.isCpuReservedByLastingRunsOnly()
        ? keepFreeOnceFree(priority, spec, worker)
        : headroom(priority, worker);
  }

  /**
   * Returns what must remain free beside a task once only runs that last are left on the worker.
   *
   * @param priority priority of the task's queue
   * @param spec step of the task
   * @param worker the worker
   * @return thousandths of a core
   */
  public static int keepFreeOnceFree(int priority, StepSpec spec, WorkerAllocation worker) {
    int remaining =
        worker.descriptor().cpuMillis() - worker.lastingCpuMillis() - spec.reservedCpuMillis();
    return Math.max(0, Math.min(headroom(priority, worker), remaining));
  }

  /** Returns what tasks of a priority usually leave free, in thousandths of a core. */
  public static int headroom(int priority, WorkerAllocation worker) {
    return priority == 0 ? 0 : (int) Math.round(worker.descriptor().cpuMillis() * SHARE);
  }

  /**
   * Returns whether a task may start in the headroom if no worker offers capacity beside it.
   *
   * @param spec step of the task
   * @param workers the workers of the service that accept runs
   */
  public static boolean isWaivedFor(StepSpec spec, Collection<WorkerAllocation> workers) {
    return spec.longRunning() || !isKept(workers);
  }

  /**
   * Returns whether so much of a service is in use that the headroom is kept for urgent tasks.
   *
   * @param workers the workers of the service that accept runs
   */
  public static boolean isKept(Collection<WorkerAllocation> workers) {
    long capacityCpuMillis = 0;
    long freeCpuMillis = 0;
    for (WorkerAllocation worker : workers) {
      capacityCpuMillis += worker.descriptor().cpuMillis();
      freeCpuMillis += Math.max(0, worker.freeCpuMillis());
    }
    return capacityCpuMillis - freeCpuMillis >= BUSY_SHARE * capacityCpuMillis;
  }
}
