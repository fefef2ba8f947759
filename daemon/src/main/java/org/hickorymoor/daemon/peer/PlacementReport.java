package org.hickorymoor.daemon.peer;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Where a job would be placed at one moment, and why.
 *
 * @param basis what the report rests on
 * @param refusals what would refuse the job; empty if it would be accepted
 * @param notes what the report leaves open
 * @param customer the job's customer, or null if it has none
 * @param timing expected run times and the objective
 * @param stepsBefore ready steps of the same service that go before the job's first step
 * @param steps the steps that could start now
 */
public record PlacementReport(
    Basis basis,
    List<String> refusals,
    List<String> notes,
    @Nullable CustomerStanding customer,
    Timing timing,
    int stepsBefore,
    List<StepFit> steps) {

  /** Makes defensive copies of the lists. */
  public PlacementReport {
    refusals = List.copyOf(refusals);
    notes = List.copyOf(notes);
    steps = List.copyOf(steps);
  }

  /**
   * The state that a report rests on.
   *
   * @param epoch epoch of the coordinator
   * @param configVersion version of the coordinator's configuration; -1 if it has none
   * @param submissionsAgeMs time since the oldest of the last reads of the submissions
   */
  public record Basis(long epoch, long configVersion, long submissionsAgeMs) {}

  /**
   * Amounts of resources.
   *
   * @param cpuMillis thousandths of a core
   * @param memoryMb memory
   * @param accelerators number of accelerators
   */
  public record Amounts(long cpuMillis, long memoryMb, long accelerators) {}

  /**
   * Limit, use and share of a customer.
   *
   * @param name name of the customer
   * @param limit maximum over all workers; 0 of a resource means no limit
   * @param used what its tasks may be using
   * @param averageShareMillionths averaged dominant share of the service
   * @param entitledShareMillionths share of the service that it is entitled to
   * @param rank 0 within its share, 1 above its share, 2 beyond its rate
   */
  public record CustomerStanding(
      String name,
      Amounts limit,
      Amounts used,
      long averageShareMillionths,
      long entitledShareMillionths,
      int rank) {}

  /**
   * Expected times of a job that is accepted and starts now.
   *
   * @param steps times of each step
   * @param criticalPathMs length of the critical path by the expected run times
   * @param objectiveMs time from its acceptance, or from the due time of an occurrence, within
   *     which the job should complete
   * @param timeliness whether the job would be on time, late or too late
   */
  public record Timing(
      List<StepTime> steps, long criticalPathMs, long objectiveMs, String timeliness) {
    /** Makes a defensive copy of the list. */
    public Timing {
      steps = List.copyOf(steps);
    }
  }

  /**
   * Run time of a task of a step.
   *
   * @param step index of the step
   * @param expectedMs expected run time
   * @param estimatedMs the caller's estimate
   */
  public record StepTime(int step, long expectedMs, long estimatedMs) {}

  /**
   * The workers of the service as they are for one task of a step.
   *
   * @param step index of the step
   * @param tasks number of tasks
   * @param permitted tasks that the customer's limit permits to start now
   * @param workers workers of the service
   * @param fitNow workers on which a task fits now
   * @param fitEmpty workers in use on which a task would fit if nothing ran there
   * @param unfit the workers on which no task fits now, by the first reason that applies
   * @param best the workers that would be chosen first, the cheapest first
   */
  public record StepFit(
      int step,
      int tasks,
      int permitted,
      int workers,
      int fitNow,
      int fitEmpty,
      List<Unfit> unfit,
      List<WorkerCost> best) {
    /** Makes defensive copies of the lists. */
    public StepFit {
      unfit = List.copyOf(unfit);
      best = List.copyOf(best);
    }
  }

  /**
   * Number of workers that are ruled out for a reason.
   *
   * @param reason the reason
   * @param workers number of workers
   */
  public record Unfit(String reason, int workers) {}

  /**
   * Placement cost of a worker.
   *
   * @param worker id of the worker
   * @param rack rack of the worker
   * @param costThousandths the cost, in thousandths
   * @param parts the parts of the cost that are not 0
   */
  public record WorkerCost(String worker, String rack, long costThousandths, List<CostPart> parts) {
    /** Makes a defensive copy of the list. */
    public WorkerCost {
      parts = List.copyOf(parts);
    }
  }

  /**
   * A part of a placement cost.
   *
   * @param name name of the part
   * @param thousandths its value, in thousandths
   */
  public record CostPart(String name, long thousandths) {}
}
