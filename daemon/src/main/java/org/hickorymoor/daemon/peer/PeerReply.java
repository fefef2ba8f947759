package org.hickorymoor.daemon.peer;

import java.nio.ByteBuffer;
import java.util.List;
import org.hickorymoor.daemon.port.ApprovalPort;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.domain.workload.WorkloadState;
import org.hickorymoor.protocol.platform.LogRecord;
import org.jspecify.annotations.Nullable;

/** A reply to a {@link PeerRequest}. */
public sealed interface PeerReply {

  /**
   * Reply to {@link PeerRequest.Status}.
   *
   * @param status status of the replying host
   */
  record StatusReply(PeerRequest.Status status) implements PeerReply {}

  /**
   * Reply to requests about one job.
   *
   * @param answer state of the job
   */
  record JobReply(JobAnswer answer) implements PeerReply {}

  /**
   * Reply to requests about a job that the peer does not know.
   *
   * @param request key of the job's request
   */
  record UnknownJob(RequestKey request) implements PeerReply {}

  /**
   * Reply to {@link PeerRequest.ListJobs}.
   *
   * @param jobs the jobs
   */
  record JobListReply(List<JobAnswer> jobs) implements PeerReply {
    /** Makes a defensive copy of the list. */
    public JobListReply {
      jobs = List.copyOf(jobs);
    }
  }

  /**
   * Reply to {@link PeerRequest.ExplainJob}.
   *
   * @param lines the explanation, as human-readable text
   */
  record ExplainReply(List<String> lines) implements PeerReply {
    /** Makes a defensive copy of the list. */
    public ExplainReply {
      lines = List.copyOf(lines);
    }
  }

  /**
   * Reply to {@link PeerRequest.ListWorkers}.
   *
   * @param workers the workers of the domain
   */
  record WorkerListReply(List<WorkerStatus> workers) implements PeerReply {
    /** Makes a defensive copy of the list. */
    public WorkerListReply {
      workers = List.copyOf(workers);
    }
  }

  /**
   * Reply to {@link PeerRequest.FetchConfig}.
   *
   * @param endOffset offset after the newest record that the peer has applied
   * @param records records in offset order
   */
  record ConfigReply(long endOffset, List<LogRecord> records) implements PeerReply {
    /** Makes a defensive copy of the list. */
    public ConfigReply {
      records = List.copyOf(records);
    }
  }

  /** Reply to a request that was executed and returns no data. */
  record Done() implements PeerReply {}

  /**
   * Reply to {@link PeerRequest.FetchIntents}.
   *
   * @param complete whether the peer still has every intent that it was sent
   * @param entries the intents
   */
  record IntentsReply(boolean complete, List<String> entries) implements PeerReply {
    /** Makes a defensive copy of the list. */
    public IntentsReply {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Reply to a request that was refused.
   *
   * @param type reason for the refusal
   * @param message details, with the expected and the actual values and a remedy
   */
  record Refused(PeerErrorType type, String message) implements PeerReply {}

  /**
   * Reply to {@link PeerRequest.GetWorkload}.
   *
   * @param state state of the job, or null if the coordinator does not know it
   */
  record WorkloadReply(@Nullable WorkloadState state) implements PeerReply {}

  /**
   * Reply to {@link PeerRequest.GetQueueDepth}.
   *
   * @param waiting number of accepted jobs without a started task
   */
  record QueueDepthReply(int waiting) implements PeerReply {}

  /**
   * Reply to {@link PeerRequest.AskApproval}.
   *
   * @param approvals the approvals
   */
  record ApprovalReply(List<ApprovalPort.Approval> approvals) implements PeerReply {
    /** Makes a defensive copy of the list. */
    public ApprovalReply {
      approvals = List.copyOf(approvals);
    }
  }

  /**
   * Reply to {@link PeerRequest.GetCellConfig}.
   *
   * @param offset offset of the newest record that the peer knows; -1 for none
   * @param confirmedAgeMs time since the store last confirmed to the peer that there is no newer
   *     record; -1 for never
   * @param record the record of the peer's configuration; empty if the peer has none newer
   */
  record CellConfigReply(long offset, long confirmedAgeMs, ByteBuffer record)
      implements PeerReply {}

  /**
   * Reply to {@link PeerRequest.AnnounceSubmission} if the coordinator must be asked about further
   * jobs of the customer. Otherwise the reply is {@link Done}, as from hosts of versions without
   * admission control.
   *
   * @param underPressure whether the customer is under pressure
   */
  record AnnouncementReply(boolean underPressure) implements PeerReply {}

  /**
   * Reply to {@link PeerRequest.AdmitSubmission}.
   *
   * @param admitted whether the job is to be accepted
   * @param retryAfterMs time after which a refused job can be submitted again; 0 if it is admitted
   * @param reason why the job is refused; empty if it is admitted
   */
  record AdmissionReply(boolean admitted, long retryAfterMs, String reason) implements PeerReply {}

  /**
   * Reply to {@link PeerRequest.PreviewPlacement}.
   *
   * @param report where the job would be placed
   */
  record PlacementReply(PlacementReport report) implements PeerReply {}
}
