package org.hickorymoor.daemon.peer;

import java.util.List;
import org.hickorymoor.daemon.port.ApprovalPort;
import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.domain.workload.WorkloadState;
import org.hickorymoor.protocol.platform.LogRecord;
import org.jspecify.annotations.Nullable;

/** What a daemon answers to a {@link PeerRequest}. */
public sealed interface PeerReply {

  /**
   * Answers {@link PeerRequest.Status}.
   *
   * @param status how the answering host is
   */
  record StatusReply(PeerRequest.Status status) implements PeerReply {}

  /**
   * Answers what is asked about one job.
   *
   * @param answer what is known of it
   */
  record JobReply(JobAnswer answer) implements PeerReply {}

  /**
   * Answers that the peer knows no such job.
   *
   * @param request name of the request that was asked about
   */
  record UnknownJob(RequestKey request) implements PeerReply {}

  /**
   * Answers {@link PeerRequest.ListJobs}.
   *
   * @param jobs the jobs
   */
  record JobListReply(List<JobAnswer> jobs) implements PeerReply {
    /** Copies the list. */
    public JobListReply {
      jobs = List.copyOf(jobs);
    }
  }

  /**
   * Answers {@link PeerRequest.ExplainJob}.
   *
   * @param lines the explanation, for people
   */
  record ExplainReply(List<String> lines) implements PeerReply {
    /** Copies the list. */
    public ExplainReply {
      lines = List.copyOf(lines);
    }
  }

  /**
   * Answers {@link PeerRequest.ListWorkers}.
   *
   * @param workers the workers of the domain
   */
  record WorkerListReply(List<WorkerStatus> workers) implements PeerReply {
    /** Copies the list. */
    public WorkerListReply {
      workers = List.copyOf(workers);
    }
  }

  /**
   * Answers {@link PeerRequest.FetchConfig}.
   *
   * @param endOffset offset after the newest record that the peer has applied
   * @param records records in offset order
   */
  record ConfigReply(long endOffset, List<LogRecord> records) implements PeerReply {
    /** Copies the list. */
    public ConfigReply {
      records = List.copyOf(records);
    }
  }

  /** Answers that the request was carried out. */
  record Done() implements PeerReply {}

  /**
   * Answers {@link PeerRequest.FetchIntents}.
   *
   * @param complete whether the peer has kept every intent it was given
   * @param entries the intents
   */
  record IntentsReply(boolean complete, List<String> entries) implements PeerReply {
    /** Copies the list. */
    public IntentsReply {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Answers that the request was refused.
   *
   * @param type why
   * @param message what was expected, what came, and how to mend it
   */
  record Refused(PeerErrorType type, String message) implements PeerReply {}

  /**
   * Answers {@link PeerRequest.GetWorkload}.
   *
   * @param state how far the job is, or null if the coordinator knows no such job
   */
  record WorkloadReply(@Nullable WorkloadState state) implements PeerReply {}

  /**
   * Answers {@link PeerRequest.GetQueueDepth}.
   *
   * @param waiting accepted jobs of which no task has started
   */
  record DepthReply(int waiting) implements PeerReply {}

  /**
   * Answers {@link PeerRequest.AskApproval}.
   *
   * @param approvals the approvals
   */
  record ApprovalReply(List<ApprovalPort.Approval> approvals) implements PeerReply {
    /** Copies the list. */
    public ApprovalReply {
      approvals = List.copyOf(approvals);
    }
  }
}
