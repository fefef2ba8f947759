package org.hickorymoor.daemon.peer;

import java.nio.ByteBuffer;
import java.util.List;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.RequestKey;
import org.jspecify.annotations.Nullable;

/** What one daemon asks of another. */
public sealed interface PeerRequest {

  /**
   * Tells the peer how the sender is, and asks the same; answered by {@link PeerReply.StatusReply}.
   *
   * @param hostId name of the sender
   * @param incarnation changes with every restart of the sender
   * @param domain failure domain of the sender
   * @param coordinator whether the sender coordinates its failure domain
   * @param workersOwned number of workers that it may start tasks on
   * @param configOffset offset up to which it has applied the configuration
   * @param leaving whether it is about to stop
   */
  record Status(
      String hostId,
      String incarnation,
      String domain,
      boolean coordinator,
      int workersOwned,
      long configOffset,
      boolean leaving)
      implements PeerRequest {}

  /**
   * Submits a job on behalf of a caller of the sender; answered by {@link PeerReply.JobReply}.
   *
   * @param jobId name of the job
   * @param entryHostId host that took the caller's request
   * @param spec the job
   * @param waitMs longest time to hold back the answer until the job has ended; 0 for no wait
   */
  record SubmitJob(String jobId, String entryHostId, JobSpec spec, long waitMs)
      implements PeerRequest {}

  /**
   * Asks about a job; answered by {@link PeerReply.JobReply} or {@link PeerReply.UnknownJob}.
   *
   * @param request name of the caller's request
   * @param waitMs longest time to hold back the answer until the job has ended; 0 for no wait
   */
  record GetJob(RequestKey request, long waitMs) implements PeerRequest {}

  /**
   * Cancels a job; answered by {@link PeerReply.JobReply} or {@link PeerReply.UnknownJob}.
   *
   * @param request name of the caller's request
   * @param actor who cancels, for the audit trail
   */
  record CancelJob(RequestKey request, String actor) implements PeerRequest {}

  /**
   * Lists jobs; answered by {@link PeerReply.JobListReply}.
   *
   * @param team team whose jobs are wanted, or null for all
   * @param limit most jobs wanted
   */
  record ListJobs(@Nullable String team, int limit) implements PeerRequest {}

  /**
   * Asks why a job is where it is; answered by {@link PeerReply.ExplainReply}.
   *
   * @param request name of the caller's request
   */
  record ExplainJob(RequestKey request) implements PeerRequest {}

  /** Lists the workers of the peer's domain; answered by {@link PeerReply.WorkerListReply}. */
  record ListWorkers() implements PeerRequest {}

  /**
   * Asks for records of the configuration; answered by {@link PeerReply.ConfigReply}.
   *
   * @param afterOffset the sender has everything up to and including this offset
   * @param maxRecords most records wanted
   */
  record FetchConfig(long afterOffset, int maxRecords) implements PeerRequest {}

  /**
   * Starts or ends the draining of a worker; answered by {@link PeerReply.Done}.
   *
   * @param workerId name of the worker
   * @param drain true to drain it, false to use it again
   * @param actor who asks, for the audit trail
   */
  record DrainWorker(String workerId, boolean drain, String actor) implements PeerRequest {}

  /**
   * Has the peer keep intents in memory while the log is out; answered by {@link PeerReply.Done}.
   *
   * @param domain failure domain that the intents belong to
   * @param entries the intents, opaque to the peer
   */
  record StoreIntent(String domain, List<String> entries) implements PeerRequest {
    /** Copies the list. */
    public StoreIntent {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Asks for the intents that the peer keeps; answered by {@link PeerReply.IntentsReply}.
   *
   * @param domain failure domain that the intents belong to
   */
  record FetchIntents(String domain) implements PeerRequest {}

  /**
   * Has the peer append an accepted job or a cancellation on behalf of the sender, which can't
   * reach the store; answered by {@link PeerReply.Done}.
   *
   * @param key key of the record
   * @param value content of the record
   */
  record RelaySubmission(String key, ByteBuffer value) implements PeerRequest {}

  /**
   * Tells the coordinator of a job on its way to the store, so that it is placed meanwhile;
   * answered by {@link PeerReply.Done}.
   *
   * @param key key of the job's record
   * @param value content of the record
   * @param stored whether the store has taken it; nothing is started before
   */
  record AnnounceSubmission(String key, ByteBuffer value, boolean stored) implements PeerRequest {}

  /**
   * Asks the coordinator how far a job is; answered by {@link PeerReply.WorkloadReply}.
   *
   * @param jobId name of the job
   */
  record GetWorkload(String jobId) implements PeerRequest {}

  /**
   * Asks the coordinator how many jobs of a queue wait; answered by {@link
   * PeerReply.QueueDepthReply}.
   *
   * @param queue name of the queue
   */
  record GetQueueDepth(String queue) implements PeerRequest {}

  /**
   * Has the peer ask for approvals; answered by {@link PeerReply.ApprovalReply}.
   *
   * @param step name of the step
   * @param workerIds workers to decide about
   * @param timeoutMs time for the call to the service
   */
  record AskApproval(String step, List<String> workerIds, long timeoutMs) implements PeerRequest {
    /** Copies the list. */
    public AskApproval {
      workerIds = List.copyOf(workerIds);
    }
  }
}
