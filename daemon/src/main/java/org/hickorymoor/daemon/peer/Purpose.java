package org.hickorymoor.daemon.peer;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Metric category of traffic. A reply is counted under the purpose of its request. */
enum Purpose {
  STATUS("status", PeerRequest.Status.class),
  SUBMIT_JOB("submit-job", PeerRequest.SubmitJob.class),
  GET_JOB("get-job", PeerRequest.GetJob.class),
  CANCEL_JOB("cancel-job", PeerRequest.CancelJob.class),
  LIST_JOBS("list-jobs", PeerRequest.ListJobs.class),
  EXPLAIN_JOB("explain-job", PeerRequest.ExplainJob.class),
  LIST_WORKERS("list-workers", PeerRequest.ListWorkers.class),
  FETCH_CONFIG("fetch-config", PeerRequest.FetchConfig.class),
  DRAIN_WORKER("drain-worker", PeerRequest.DrainWorker.class),
  STORE_INTENT("store-intent", PeerRequest.StoreIntent.class),
  FETCH_INTENTS("fetch-intents", PeerRequest.FetchIntents.class),
  RELAY_SUBMISSION("relay-submission", PeerRequest.RelaySubmission.class),
  REQUEST_TAKEOVER("request-takeover", PeerRequest.RequestTakeover.class),
  ANNOUNCE_SUBMISSION("announce-submission", PeerRequest.AnnounceSubmission.class),
  GET_WORKLOAD("get-workload", PeerRequest.GetWorkload.class),
  GET_QUEUE_DEPTH("get-queue-depth", PeerRequest.GetQueueDepth.class),
  ASK_APPROVAL("ask-approval", PeerRequest.AskApproval.class),
  GET_CELL_CONFIG("get-cell-config", PeerRequest.GetCellConfig.class),
  ADMIT_SUBMISSION("admit-submission", PeerRequest.AdmitSubmission.class),
  PREVIEW_PLACEMENT("preview-placement", PeerRequest.PreviewPlacement.class),

  /** Hello, heartbeat and go-away frames. */
  UPKEEP("upkeep", null),

  /** Error frames. */
  ERROR("error", null),

  /** Late and duplicate replies. */
  DROPPED("dropped", null);

  private static final Map<Class<?>, Purpose> BY_CLASS = byClass();

  private final String metricName;
  private final @Nullable Class<? extends PeerRequest> requestClass;

  Purpose(String metricName, @Nullable Class<? extends PeerRequest> requestClass) {
    this.metricName = metricName;
    this.requestClass = requestClass;
  }

  String metricName() {
    return metricName;
  }

  static Purpose of(PeerRequest request) {
    Purpose purpose = BY_CLASS.get(request.getClass());
    if (purpose == null) {
      throw new IllegalStateException("no purpose defined for " + request.getClass());
    }
    return purpose;
  }

  private static Map<Class<?>, Purpose> byClass() {
    Map<Class<?>, Purpose> purposes = new HashMap<>();
    for (Purpose purpose : values()) {
      if (purpose.requestClass != null) {
        purposes.put(purpose.requestClass, purpose);
      }
    }
    return purposes;
  }
}
