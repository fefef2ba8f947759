package org.hickorymoor.domain.workload;

/** CPU capacity that less urgent tasks leave free on each worker for the most urgent priority. */
public final class UrgentHeadroom {

  /** Share of a worker's CPU capacity that is reserved for the most urgent priority, 0. */
  private static final double SHARE = 0.06;

  private UrgentHeadroom() {}

  /**
   * Returns what must remain free beside a task. A task that needs nearly a whole worker leaves
   * nothing free on a worker without other reservations, as it would fit none otherwise.
   *
   * @param priority priority of the task's queue
   * @param spec step of the task
   * @param worker the worker
   * @return thousandths of a core
   */
  public static int keepFreeCpuMillis(int priority, StepSpec spec, WorkerAllocation worker) {
    return worker.isCpuUnreserved()
        ? keepFreeOnceFree(priority, spec, worker)
        : headroom(priority, worker);
  }

  /**
   * Returns what must remain free beside a task once the worker has no other reservations.
   *
   * @param priority priority of the task's queue
   * @param spec step of the task
   * @param worker the worker
   * @return thousandths of a core
   */
  public static int keepFreeOnceFree(int priority, StepSpec spec, WorkerAllocation worker) {
    int headroom = headroom(priority, worker);
    // A task that leaves less than the headroom fits only a worker without other reservations, so
    // that all else must be free.
    return Math.max(
        0, Math.min(headroom, worker.descriptor().cpuMillis() - spec.reservedCpuMillis()));
  }

  /** Returns what tasks of a priority usually leave free, in thousandths of a core. */
  public static int headroom(int priority, WorkerAllocation worker) {
    return priority == 0 ? 0 : (int) Math.round(worker.descriptor().cpuMillis() * SHARE);
  }
}
