package org.hickorymoor.daemon.peer;

import java.nio.ByteBuffer;
import java.util.List;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.RequestKey;
import org.jspecify.annotations.Nullable;

/** A request from one daemon to another. */
public sealed interface PeerRequest {

  /**
   * Sends the status of the sender and asks for that of the peer; the reply is {@link
   * PeerReply.StatusReply}.
   *
   * @param hostId host id of the sender
   * @param incarnation changes with every restart of the sender
   * @param domain failure domain of the sender
   * @param coordinator whether the sender coordinates its failure domain
   * @param workersOwned number of workers on which the sender may start tasks
   * @param configOffset offset up to which the sender has applied the configuration
   * @param leaving whether the sender is about to stop
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
   * Submits a job on behalf of a client of the sender; the reply is {@link PeerReply.JobReply}.
   *
   * @param jobId id of the job
   * @param entryHostId host that received the caller's request
   * @param spec the job
   * @param waitMs maximum time to delay the reply until the job has ended; 0 for no wait
   */
  record SubmitJob(String jobId, String entryHostId, JobSpec spec, long waitMs)
      implements PeerRequest {}

  /**
   * Asks for the state of a job; the reply is {@link PeerReply.JobReply} or {@link
   * PeerReply.UnknownJob}.
   *
   * @param request key of the job's request
   * @param waitMs maximum time to delay the reply until the job has ended; 0 for no wait
   */
  record GetJob(RequestKey request, long waitMs) implements PeerRequest {}

  /**
   * Cancels a job; the reply is {@link PeerReply.JobReply} or {@link PeerReply.UnknownJob}.
   *
   * @param request key of the job's request
   * @param actor user who cancels the job, for the audit trail
   */
  record CancelJob(RequestKey request, String actor) implements PeerRequest {}

  /**
   * Lists jobs; the reply is {@link PeerReply.JobListReply}.
   *
   * @param team team whose jobs are listed, or null for all teams
   * @param limit maximum number of jobs
   */
  record ListJobs(@Nullable String team, int limit) implements PeerRequest {}

  /**
   * Asks for an explanation of a job's state; the reply is {@link PeerReply.ExplainReply}.
   *
   * @param request key of the job's request
   */
  record ExplainJob(RequestKey request) implements PeerRequest {}

  /** Lists the workers of the peer's domain; the reply is {@link PeerReply.WorkerListReply}. */
  record ListWorkers() implements PeerRequest {}

  /**
   * Asks for configuration records; the reply is {@link PeerReply.ConfigReply}.
   *
   * @param afterOffset offset up to which, inclusively, the sender has all records
   * @param maxRecords maximum number of records
   */
  record FetchConfig(long afterOffset, int maxRecords) implements PeerRequest {}

  /**
   * Starts or ends the draining of a worker; the reply is {@link PeerReply.Done}.
   *
   * @param workerId id of the worker
   * @param drain true to drain the worker, false to put it back into service
   * @param actor user who sent the command, for the audit trail
   */
  record DrainWorker(String workerId, boolean drain, String actor) implements PeerRequest {}

  /**
   * Asks the peer to keep intents in memory while the log is unavailable; the reply is {@link
   * PeerReply.Done}.
   *
   * @param domain failure domain that the intents belong to
   * @param entries the intents, which the peer does not interpret
   */
  record StoreIntent(String domain, List<String> entries) implements PeerRequest {
    /** Makes a defensive copy of the list. */
    public StoreIntent {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Asks for the intents that the peer has stored; the reply is {@link PeerReply.IntentsReply}.
   *
   * @param domain failure domain that the intents belong to
   */
  record FetchIntents(String domain) implements PeerRequest {}

  /**
   * Asks the peer to append an accepted job or a cancellation on behalf of the sender, which can't
   * reach the store; the reply is {@link PeerReply.Done}.
   *
   * @param key key of the record
   * @param value content of the record
   */
  record RelaySubmission(String key, ByteBuffer value) implements PeerRequest {}

  /**
   * Announces a job to the coordinator while it is being written to the store, so that it can be
   * placed in the meantime; the reply is {@link PeerReply.AnnouncementReply} if the job's customer
   * is under pressure, else {@link PeerReply.Done}.
   *
   * @param key key of the job's record
   * @param value content of the record
   * @param stored whether the job is stored; no task is started before that
   */
  record AnnounceSubmission(String key, ByteBuffer value, boolean stored) implements PeerRequest {}

  /**
   * Asks the peer to take over from the sender, a coordinator that the store does not serve, if the
   * store serves the peer; the reply is {@link PeerReply.Done} in either case.
   *
   * @param epoch epoch of the sender
   * @param confirmedOffset offset of the sender's last heartbeat that the store confirmed
   */
  record RequestTakeover(long epoch, long confirmedOffset) implements PeerRequest {}

  /**
   * Asks the coordinator for the state of a job; the reply is {@link PeerReply.WorkloadReply}.
   *
   * @param jobId id of the job
   */
  record GetWorkload(String jobId) implements PeerRequest {}

  /**
   * Asks the coordinator for the number of waiting jobs in a queue; the reply is {@link
   * PeerReply.QueueDepthReply}.
   *
   * @param queue name of the queue
   */
  record GetQueueDepth(String queue) implements PeerRequest {}

  /**
   * Asks the peer to request approvals from the advice service; the reply is {@link
   * PeerReply.ApprovalReply}.
   *
   * @param step name of the step
   * @param workerIds workers for which approval is requested
   * @param timeoutMs timeout for the call to the advice service
   */
  record AskApproval(String step, List<String> workerIds, long timeoutMs) implements PeerRequest {
    /** Makes a defensive copy of the list. */
    public AskApproval {
      workerIds = List.copyOf(workerIds);
    }
  }

  /**
   * Asks for the configuration of the cell if the peer has a newer one; the reply is {@link
   * PeerReply.CellConfigReply}. A peer whose own is older asks the sender for it.
   *
   * @param knownOffset offset of the newest record that the sender knows; -1 for none
   * @param senderAddress ip:port at which the sender handles requests
   */
  record GetCellConfig(long knownOffset, String senderAddress) implements PeerRequest {}

  /**
   * Asks the coordinator whether to accept a job of a customer that is under pressure; the reply is
   * {@link PeerReply.AdmissionReply}.
   *
   * <p>Service, priority and usefulness come from the sender, since the coordinator knows only the
   * queues of open jobs, whose configuration may have changed meanwhile.
   *
   * @param jobId id of the job
   * @param customer name of the customer
   * @param queue name of the job's queue
   * @param service name of the worker pool that would run the job
   * @param priority priority of the queue; 0 is the highest
   * @param coreMs processor time that the job needs, in core-milliseconds
   * @param criticalPathMs length of the job's critical path
   * @param usefulWithinMs time from now within which the job must complete to be useful
   * @param bytes size of the submission
   */
  record AdmitSubmission(
      String jobId,
      String customer,
      String queue,
      String service,
      int priority,
      long coreMs,
      long criticalPathMs,
      long usefulWithinMs,
      int bytes)
      implements PeerRequest {}

  /**
   * Asks the coordinator where a job would be placed now; nothing is placed, stored or counted. The
   * reply is {@link PeerReply.PlacementReply}.
   *
   * @param submission the job, encoded as for the store; its customer is null if the sender does
   *     not know it
   * @param customer name of the customer that was asked about, or null for none
   */
  record PreviewPlacement(ByteBuffer submission, @Nullable String customer)
      implements PeerRequest {}
}
