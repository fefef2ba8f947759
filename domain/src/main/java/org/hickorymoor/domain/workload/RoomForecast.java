package org.hickorymoor.domain.workload;

import java.util.Comparator;
import java.util.List;

/** Forecasts when a worker will have room for a task, by the expected ends of its runs. */
public final class RoomForecast {

  /** Returned if the room does not come free as far as is known. */
  public static final long NEVER_MS = Long.MAX_VALUE;

  /**
   * A run that holds capacity of the worker.
   *
   * @param spec step of the run
   * @param remainingMs expected time until it ends; {@link #NEVER_MS} if it has no end
   */
  public record Run(StepSpec spec, long remainingMs) {

    /** Validates the time. */
    public Run {
      if (remainingMs < 0) {
        throw new IllegalArgumentException("remaining time is negative: " + remainingMs);
      }
    }
  }

  private RoomForecast() {}

  /**
   * Returns the expected time until a task fits if nothing else starts on the worker.
   *
   * @param worker the worker
   * @param spec step of the task
   * @param keepFreeCpuMillis CPU capacity that must remain free, in thousandths of a core
   * @param runs the runs on the worker
   * @return milliseconds, or {@link #NEVER_MS}
   */
  public static long msUntilFits(
      WorkerAllocation worker, StepSpec spec, int keepFreeCpuMillis, List<Run> runs) {
    int missingCpuMillis = spec.reservedCpuMillis() + keepFreeCpuMillis - worker.freeCpuMillis();
    int missingMemoryMb = spec.memoryMb() - worker.freeMemoryMb();
    int missingAccelerators = spec.accelerators() - worker.freeAccelerators();
    long untilMs = 0;
    for (Run run : runs.stream().sorted(Comparator.comparingLong(Run::remainingMs)).toList()) {
      if (missingCpuMillis <= 0 && missingMemoryMb <= 0 && missingAccelerators <= 0) {
        return untilMs;
      }
      missingCpuMillis -= run.spec().reservedCpuMillis();
      missingMemoryMb -= run.spec().memoryMb();
      missingAccelerators -= run.spec().accelerators();
      untilMs = run.remainingMs();
    }
    return missingCpuMillis <= 0 && missingMemoryMb <= 0 && missingAccelerators <= 0
        ? untilMs
        : NEVER_MS;
  }
}
