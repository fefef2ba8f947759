package org.hickorymoor.daemon.shard;

import static java.util.concurrent.CompletableFuture.completedFuture;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerReply.AdmissionReply;
import org.hickorymoor.daemon.peer.PeerReply.AnnouncementReply;
import org.hickorymoor.daemon.peer.PeerRequest.AdmitSubmission;
import org.hickorymoor.domain.customer.CustomerPolicy;
import org.hickorymoor.domain.workload.QueuePolicy;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.WorkloadSpec;
import org.jspecify.annotations.Nullable;

/**
 * Asks the coordinator before this host stores a job of a customer that is under pressure.
 *
 * <p>Any outcome but a refusal means that the job is accepted: hosts of versions without admission
 * control, a missing coordinator and late answers must not keep jobs out. Thread-safe.
 */
final class AdmissionGate {

  /** Sends a question to the coordinator. */
  @FunctionalInterface
  interface Coordinator {

    /**
     * Asks once.
     *
     * @param request the question
     * @param timeoutMs timeout of the call
     * @return the reply; fails or is a refusal of the request if no coordinator answers
     */
    CompletableFuture<PeerReply> ask(AdmitSubmission request, long timeoutMs);
  }

  /** How long the coordinator is asked about a customer after it has reported pressure. */
  private static final long PRESSURE_TTL_MS = 1_000;

  /** Longest wait for an answer; the coordinator usually answers within 10 ms. */
  static final long TIMEOUT_MS = 300;

  /** At most this part of the caller's time is spent on the question. */
  private static final int MAX_TIME_DIVISOR = 2;

  /** Number of customers from which on outdated entries are removed. */
  private static final int CLEANUP_SIZE = 1_000;

  private final ShardEventLoop loop;
  private final Coordinator coordinator;
  private final ShardMetrics metrics;

  /** When the coordinator last reported pressure, by customer. */
  private final Map<String, Long> pressureNs = new ConcurrentHashMap<>();

  /**
   * Creates a gate.
   *
   * @param loop event loop of the host
   * @param coordinator sends questions
   * @param metrics counts questions and refusals
   */
  AdmissionGate(ShardEventLoop loop, Coordinator coordinator, ShardMetrics metrics) {
    this.loop = loop;
    this.coordinator = coordinator;
    this.metrics = metrics;
  }

  /**
   * Takes the coordinator's reply to the announcement of a job.
   *
   * @param customer customer of the job, or null if it has none
   * @param reply the reply, or null if there was none
   */
  void onAnnouncementReply(@Nullable CustomerPolicy customer, @Nullable PeerReply reply) {
    if (customer != null
        && reply instanceof AnnouncementReply announced
        && announced.underPressure()) {
      recordPressure(customer.name());
    }
  }

  private void recordPressure(String customer) {
    long nowNs = loop.nowNs();
    if (pressureNs.size() >= CLEANUP_SIZE) {
      pressureNs.values().removeIf(sinceNs -> isOutdated(sinceNs, nowNs));
    }
    pressureNs.put(customer, nowNs);
  }

  private static boolean isOutdated(long sinceNs, long nowNs) {
    return nowNs - sinceNs >= TimeUnit.MILLISECONDS.toNanos(PRESSURE_TTL_MS);
  }

  /**
   * Returns whether a job is accepted.
   *
   * @param submission the job
   * @param withinMs how long the caller waits
   * @return the result; never fails
   */
  CompletableFuture<Admission> admit(Submission submission, long withinMs) {
    CustomerPolicy customer = submission.customer();
    Long sinceNs = customer == null ? null : pressureNs.get(customer.name());
    if (customer == null || sinceNs == null || isOutdated(sinceNs, loop.nowNs())) {
      return completedFuture(Admission.ADMITTED);
    }
    long timeoutMs = Math.min(TIMEOUT_MS, withinMs / MAX_TIME_DIVISOR);
    metrics.admissionAsked();
    CompletableFuture<Admission> result = new CompletableFuture<>();
    loop.schedule(timeoutMs, () -> completeUnanswered(result));
    var unused =
        coordinator
            .ask(question(submission, customer.name(), loop.nowMs()), timeoutMs)
            .whenComplete((reply, failure) -> complete(result, customer.name(), reply));
    return result;
  }

  private void complete(
      CompletableFuture<Admission> result, String customer, @Nullable PeerReply reply) {
    if (!(reply instanceof AdmissionReply admission)) {
      completeUnanswered(result);
    } else if (admission.admitted()) {
      result.complete(Admission.ADMITTED);
    } else if (result.complete(
        new Admission(false, admission.retryAfterMs(), admission.reason()))) {
      // A refused job is not announced, so no announcement's reply would renew the pressure.
      recordPressure(customer);
      metrics.admissionRefused();
    }
  }

  private void completeUnanswered(CompletableFuture<Admission> result) {
    if (result.complete(Admission.ADMITTED)) {
      metrics.admissionUnanswered();
    }
  }

  /**
   * Returns the question whether a job is accepted.
   *
   * @param submission the job
   * @param customer name of its customer
   * @param nowMs Unix time
   */
  static AdmitSubmission question(Submission submission, String customer, long nowMs) {
    WorkloadSpec spec = submission.spec();
    QueuePolicy queue = submission.policy();
    long criticalPathMs = WorkEstimates.declaredCriticalPathMs(spec);
    return new AdmitSubmission(
        submission.jobId(),
        customer,
        queue.queue(),
        queue.service(),
        queue.priority(),
        WorkEstimates.declaredCoreMs(spec),
        criticalPathMs,
        WorkEstimates.usefulWithinMs(submission, criticalPathMs, nowMs),
        WorkloadCodec.encode(submission).length);
  }
}
