package org.hickorymoor.daemon.shard;

import static java.util.concurrent.CompletableFuture.completedFuture;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hickorymoor.daemon.peer.ByteBuffers;
import org.hickorymoor.daemon.peer.PeerErrorType;
import org.hickorymoor.daemon.peer.PeerException;
import org.hickorymoor.daemon.peer.PeerHandler;
import org.hickorymoor.daemon.peer.PeerReply;
import org.hickorymoor.daemon.peer.PeerRequest;
import org.hickorymoor.daemon.peer.PlacementReport;
import org.hickorymoor.daemon.port.ApprovalPort;
import org.hickorymoor.daemon.port.ApprovalPort.Approval;
import org.hickorymoor.daemon.port.KeyedLogPort;
import org.hickorymoor.daemon.port.KeyedStream;
import org.hickorymoor.daemon.port.PeerPort;
import org.hickorymoor.daemon.port.PlatformException;
import org.hickorymoor.daemon.port.TaskWorkerPort;
import org.hickorymoor.daemon.port.WorkerRecordDecoder;
import org.hickorymoor.domain.customer.CustomerDirectory;
import org.hickorymoor.domain.workload.Submission;
import org.hickorymoor.domain.workload.WorkloadState;
import org.jspecify.annotations.Nullable;

/**
 * Accepts jobs on every host and schedules them while this host is the coordinator.
 *
 * <p>A job is accepted once its record is stored, regardless of which host coordinates. Queries go
 * to the coordinator. A host that the store refuses relays its appends through a peer. Thread-safe.
 */
public final class Shard implements PeerHandler {

  private static final long RETRY_DELAY_MS = 60;

  /** Peers that a coordinator asks to take over; some of them may not be served either. */
  private static final int TAKEOVER_REQUEST_PEERS = 3;

  /** Interval at which a coordinator that the store does not serve asks further peers. */
  private static final long TAKEOVER_REQUEST_INTERVAL_MS = 400;

  /** Timeout of one call to the coordinator; the query is then repeated. */
  private static final long QUERY_TIMEOUT_MS = 700;

  /**
   * Number of jobs accepted on this host that are remembered, so that they are known even before
   * the coordinator has read them.
   */
  private static final int RECENT_JOB_LIMIT = 4_096;

  /** Result of storing a request. */
  public enum StoreResult {
    /** It is stored. */
    YES,
    /** It is not stored and never will be. */
    NO,
    /** It may be stored already, or may be stored later. */
    UNKNOWN
  }

  /**
   * Result of a job query.
   *
   * @param answered whether the coordinator answered in time
   * @param state state of the job; null if there is no such job
   */
  public record JobQueryResult(boolean answered, @Nullable WorkloadState state) {}

  private final ShardEventLoop loop;
  private final ShardMetrics metrics;
  private final Supplier<@Nullable CustomerDirectory> customers;
  private final ShardSettings settings;
  private final KeyedLogPort log;
  private final TaskWorkerPort workers;
  private final ApprovalPort approvalPort;
  private final WorkerRecordDecoder decoder;
  private final PeerPort peers;
  private final SubmissionWriter submissions;
  private final HostRegistry hosts;
  private final CoordinatorElection election;
  private final RecentJobIds recentJobs = new RecentJobIds(RECENT_JOB_LIMIT);
  private final EventLoopLagMonitor lagMonitor;
  private final AdmissionGate admissionGate;
  private @Nullable JobScheduler scheduler;
  private long takeoverRequestedNs;
  private volatile boolean elected;

  /**
   * Creates a shard; {@link #start} joins the cell.
   *
   * @param settings identity and timing of this host
   * @param log the platform's record store
   * @param workers sends requests to workers
   * @param approvalPort requests approvals
   * @param decoder decodes the records of workers
   * @param peers calls other hosts
   * @param loop event loop that owns the shard's state; stopped with the shard
   * @param metrics counters and latencies of the shard
   * @param customers gives the customers of the newest configuration; null before the first one
   */
  public Shard(
      ShardSettings settings,
      KeyedLogPort log,
      TaskWorkerPort workers,
      ApprovalPort approvalPort,
      WorkerRecordDecoder decoder,
      PeerPort peers,
      ShardEventLoop loop,
      ShardMetrics metrics,
      Supplier<@Nullable CustomerDirectory> customers) {
    this.loop = loop;
    this.metrics = metrics;
    this.customers = customers;
    this.settings = settings;
    this.takeoverRequestedNs =
        loop.nowNs() - TimeUnit.MILLISECONDS.toNanos(TAKEOVER_REQUEST_INTERVAL_MS);
    this.log = log;
    this.workers = workers;
    this.approvalPort = approvalPort;
    this.decoder = decoder;
    this.peers = peers;

    this.hosts = new HostRegistry(loop, log, settings);
    this.submissions = new SubmissionWriter(loop, log, this::submissionPartition);
    this.election = new CoordinatorElection(loop, log, settings, new ElectionListener());
    this.admissionGate = new AdmissionGate(loop, this::askCoordinator, metrics);
    this.lagMonitor =
        new EventLoopLagMonitor(
            loop, () -> election.pauseCandidacy("the event loop of this host runs late"));
  }

  /**
   * Returns the submission partition of this host; hosts share one only if there are more hosts
   * than partitions.
   */
  private KeyedStream submissionPartition() {
    List<KeyedStream> partitions = KeyedStream.submissionPartitions();
    return partitions.get(hosts.rank() % partitions.size());
  }

  /** Registers this host and takes part in the election of the coordinator. */
  public void start() {
    hosts.start();
    election.start();
    loop.execute(lagMonitor::start);
  }

  /** Requests another host as coordinator; submissions and queries are still accepted. */
  public void leave() {
    loop.execute(
        () -> {
          election.leave();
          hosts.stop();
        });
  }

  /** Stops coordinating and stops the event loop. */
  public void stop() {
    loop.execute(
        () -> {
          election.stop();
          closeScheduler();
        });
    loop.stop();
  }

  /**
   * Asks whether a job of a customer under pressure is accepted; to be called before {@link
   * #submit}.
   *
   * @param submission the job
   * @param withinMs how long the caller waits
   * @return whether the job is accepted; never fails
   */
  public CompletableFuture<Admission> admit(Submission submission, long withinMs) {
    return admissionGate.admit(submission, withinMs);
  }

  /** Asks the coordinator once, which may be this host. */
  private CompletableFuture<PeerReply> askCoordinator(PeerRequest request, long timeoutMs) {
    CompletableFuture<PeerReply> result = new CompletableFuture<>();
    loop.execute(
        () -> {
          CoordinatorRecord coordinator = election.current();
          if (coordinator == null || election.isSelf()) {
            result.complete(answerLocally(request));
          } else {
            var unused =
                callCoordinator(coordinator, request, timeoutMs)
                    .whenComplete(
                        (reply, failure) -> {
                          if (failure == null) {
                            result.complete(reply);
                          } else {
                            result.completeExceptionally(failure);
                          }
                        });
          }
        });
    return result;
  }

  /**
   * Stores a job.
   *
   * @param submission the job
   * @param withinMs how long the caller waits
   * @return whether it is stored
   */
  public CompletableFuture<StoreResult> submit(Submission submission, long withinMs) {
    String key = SubmissionKeys.submitted(submission.jobId());
    byte[] value = WorkloadCodec.encode(submission);
    announce(submission, key, value, false);
    return store(key, value, withinMs)
        .thenApply(
            stored -> {
              if (stored == StoreResult.YES) {
                recentJobs.add(submission.jobId());
                announce(submission, key, value, true);
              }
              return stored;
            });
  }

  /**
   * Announces a job to the coordinator, which can place it while it is being stored. Best effort:
   * nothing depends on the arrival of the announcement.
   */
  private void announce(Submission submission, String key, byte[] value, boolean stored) {
    loop.execute(
        () -> {
          CoordinatorRecord coordinator = election.current();
          if (scheduler != null) {
            admissionGate.onAnnouncementReply(
                submission.customer(), onAnnounced(key, value, stored));
          } else if (coordinator != null && !election.isSelf()) {
            var unused =
                callCoordinator(
                        coordinator,
                        new PeerRequest.AnnounceSubmission(key, ByteBuffer.wrap(value), stored),
                        QUERY_TIMEOUT_MS)
                    .thenAccept(
                        reply -> admissionGate.onAnnouncementReply(submission.customer(), reply));
          }
        });
  }

  /** Handles the announcement of a job; called on the event loop thread. */
  private PeerReply onAnnounced(String key, byte[] value, boolean stored) {
    JobScheduler activeScheduler = scheduler;
    if (activeScheduler == null) {
      return new PeerReply.Done();
    }
    activeScheduler.onAnnounced(key, value, stored);
    String jobId = SubmissionKeys.submittedJob(key);
    return jobId != null && activeScheduler.admission().isUnderPressure(jobId)
        ? new PeerReply.AnnouncementReply(true)
        : new PeerReply.Done();
  }

  /**
   * Stores the cancellation of a job.
   *
   * @param jobId name of the job
   * @param withinMs how long the caller waits
   * @return whether it is stored
   */
  public CompletableFuture<StoreResult> cancel(String jobId, long withinMs) {
    return store(SubmissionKeys.cancelled(jobId), new byte[] {1}, withinMs);
  }

  private CompletableFuture<StoreResult> store(String key, byte[] value, long withinMs) {
    final long beganNs = loop.nowNs();
    RelayedAppend append =
        new RelayedAppend(
            loop,
            submissions,
            peers,
            () -> randomPeers(1),
            hosts.firstOfGroup(KeyedStream.submissionPartitions().size()),
            key,
            value);
    return append
        .start(withinMs)
        .whenComplete(
            (stored, failure) -> metrics.submissionStored(stored, loop.nowNs() - beganNs));
  }

  /** Returns the peer addresses of all hosts of the cell, including this one. Thread-safe. */
  public List<String> hostAddresses() {
    return hosts.addresses();
  }

  /** Returns the addresses of up to this many other hosts, picked at random. */
  private List<String> randomPeers(int count) {
    List<String> others =
        new ArrayList<>(
            hosts.addresses().stream()
                .filter(address -> !address.equals(settings.peerAddress()))
                .toList());
    Collections.shuffle(others, loop.random());
    return others.subList(0, Math.min(count, others.size()));
  }

  /**
   * Queries the state of a job.
   *
   * @param jobId name of the job
   * @param withinMs how long the caller waits
   * @return the result; never fails
   */
  public CompletableFuture<JobQueryResult> state(String jobId, long withinMs) {
    CompletableFuture<JobQueryResult> result = new CompletableFuture<>();
    long deadlineNs = loop.nowNs() + TimeUnit.MILLISECONDS.toNanos(withinMs);
    queryCoordinator(
        new PeerRequest.GetWorkload(jobId),
        deadlineNs,
        reply -> {
          metrics.queryCompleted(reply != null);
          if (!(reply instanceof PeerReply.WorkloadReply workloadReply)) {
            result.complete(new JobQueryResult(false, null));
            return;
          }
          WorkloadState state = workloadReply.state();
          boolean justAccepted = state == null && recentJobs.contains(jobId);
          result.complete(new JobQueryResult(true, justAccepted ? WorkloadState.QUEUED : state));
        });
    return result;
  }

  /**
   * Queries how many jobs of a queue have not started.
   *
   * @param queue name of the queue
   * @param withinMs how long the caller waits
   * @return the number, or -1 if the coordinator did not answer in time; never fails
   */
  public CompletableFuture<Integer> queueDepth(String queue, long withinMs) {
    CompletableFuture<Integer> result = new CompletableFuture<>();
    long deadlineNs = loop.nowNs() + TimeUnit.MILLISECONDS.toNanos(withinMs);
    queryCoordinator(
        new PeerRequest.GetQueueDepth(queue),
        deadlineNs,
        reply -> {
          metrics.queryCompleted(reply != null);
          result.complete(reply instanceof PeerReply.QueueDepthReply depth ? depth.waiting() : -1);
        });
    return result;
  }

  /**
   * Queries where a job would be placed now; the job is not accepted.
   *
   * @param submission the job; without a customer if this host does not know it
   * @param customer name of the customer that was asked about, or null for none
   * @param withinMs how long the caller waits
   * @return the report, or null if the coordinator did not answer in time; never fails
   */
  public CompletableFuture<@Nullable PlacementReport> previewPlacement(
      Submission submission, @Nullable String customer, long withinMs) {
    CompletableFuture<@Nullable PlacementReport> result = new CompletableFuture<>();
    queryCoordinator(
        new PeerRequest.PreviewPlacement(
            ByteBuffer.wrap(WorkloadCodec.encode(submission)), customer),
        loop.nowNs() + TimeUnit.MILLISECONDS.toNanos(withinMs),
        reply ->
            result.complete(
                reply instanceof PeerReply.PlacementReply placement ? placement.report() : null));
    return result;
  }

  /** Calls the coordinator; a refused connection may end its term early. */
  private CompletableFuture<PeerReply> callCoordinator(
      CoordinatorRecord coordinator, PeerRequest request, long timeoutMs) {
    return peers
        .call(coordinator.address(), request, timeoutMs)
        .whenComplete(
            (reply, failure) -> {
              if (PeerException.isUnreachable(failure)) {
                loop.execute(() -> election.onCoordinatorUnreachable(coordinator.epoch()));
              }
            });
  }

  /** Queries the coordinator until it answers; the handler receives null at the deadline. */
  private void queryCoordinator(
      PeerRequest request, long deadlineNs, Consumer<@Nullable PeerReply> handler) {
    loop.execute(
        () -> {
          long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - loop.nowNs());
          CoordinatorRecord coordinator = election.current();
          if (remainingMs <= 0) {
            handler.accept(null);
            return;
          }
          if (election.isSelf() || coordinator == null) {
            PeerReply reply = answerLocally(request);
            if (reply instanceof PeerReply.Refused) {
              loop.schedule(
                  Math.min(RETRY_DELAY_MS, remainingMs),
                  () -> queryCoordinator(request, deadlineNs, handler));
            } else {
              handler.accept(reply);
            }
            return;
          }
          var unused =
              callCoordinator(coordinator, request, Math.min(QUERY_TIMEOUT_MS, remainingMs))
                  .whenComplete(
                      (reply, failure) -> {
                        if (reply == null || reply instanceof PeerReply.Refused) {
                          loop.schedule(
                              RETRY_DELAY_MS, () -> queryCoordinator(request, deadlineNs, handler));
                        } else {
                          handler.accept(reply);
                        }
                      });
        });
  }

  /**
   * Returns whether this host is the coordinator. Callable from any thread; the result may be
   * outdated.
   */
  public boolean isCoordinator() {
    return elected;
  }

  /**
   * Returns whether this host is the coordinator and has completed its takeover; called on the
   * event loop thread.
   */
  boolean isReadyCoordinator() {
    JobScheduler activeScheduler = scheduler;
    return activeScheduler != null && activeScheduler.isReady();
  }

  /** Answers a query from the state of this host; called on the event loop thread. */
  private PeerReply answerLocally(PeerRequest request) {
    JobScheduler activeScheduler = scheduler;
    if (activeScheduler == null || !activeScheduler.isReady()) {
      return notCoordinator();
    }
    if (request instanceof PeerRequest.AdmitSubmission admit) {
      return activeScheduler.admission().decide(admit);
    }
    if (request instanceof PeerRequest.PreviewPlacement placement) {
      return activeScheduler.preview().answer(placement);
    }
    if (request instanceof PeerRequest.GetQueueDepth depth) {
      return new PeerReply.QueueDepthReply(activeScheduler.queuedJobs(depth.queue()));
    }
    if (request instanceof PeerRequest.GetWorkload get) {
      WorkloadState state = activeScheduler.state(get.jobId());
      return state == null && !activeScheduler.hasFreshSubmissions()
          ? notCoordinator()
          : new PeerReply.WorkloadReply(state);
    }
    return new PeerReply.Refused(
        PeerErrorType.BAD_REQUEST,
        "expected a query for a job, a queue, an admission or a placement, got " + request);
  }

  private PeerReply notCoordinator() {
    return new PeerReply.Refused(
        PeerErrorType.NOT_COORDINATOR,
        settings.hostId() + " is not the coordinator; query the host in the latest heartbeat");
  }

  @Override
  public CompletableFuture<PeerReply> handle(PeerRequest request) {
    if (request instanceof PeerRequest.RelaySubmission relay) {
      return submissions
          .append(
              relay.key(),
              ByteBuffers.copyRemaining(relay.value()),
              RelayedAppend.RELAYED_TIMEOUT_MS)
          .handle((done, failure) -> toRelayReply(ShardEventLoop.unwrap(failure)));
    }
    if (request instanceof PeerRequest.AskApproval ask) {
      return approvalPort
          .requestApprovals(ask.step(), ask.workerIds(), ask.timeoutMs())
          .handle(
              (approvals, failure) ->
                  failure == null
                      ? new PeerReply.ApprovalReply(approvals)
                      : new PeerReply.Refused(
                          PeerErrorType.OVERLOADED,
                          "approval request failed: " + failure.getMessage()));
    }
    if (request instanceof PeerRequest.AnnounceSubmission announced) {
      byte[] value = ByteBuffers.copyRemaining(announced.value());
      CompletableFuture<PeerReply> reply = new CompletableFuture<>();
      loop.execute(() -> reply.complete(onAnnounced(announced.key(), value, announced.stored())));
      return reply;
    }
    if (request instanceof PeerRequest.RequestTakeover takeover) {
      loop.execute(
          () -> election.onSuccessorRequested(takeover.epoch(), takeover.confirmedOffset()));
      return completedFuture(new PeerReply.Done());
    }
    CompletableFuture<PeerReply> result = new CompletableFuture<>();
    loop.execute(() -> result.complete(answerLocally(request)));
    return result;
  }

  private static PeerReply toRelayReply(@Nullable PlatformException failure) {
    if (failure == null) {
      return new PeerReply.Done();
    }
    PeerErrorType type =
        failure.mayHaveTakenEffect() ? PeerErrorType.INTERNAL : PeerErrorType.OVERLOADED;
    return new PeerReply.Refused(type, "append to the store failed: " + failure.getMessage());
  }

  private CompletableFuture<List<Approval>> requestApprovals(
      String host, String step, List<String> workerIds, long withinMs) {
    if (host.equals(settings.peerAddress())) {
      return approvalPort.requestApprovals(step, workerIds, withinMs);
    }
    return peers
        .call(host, new PeerRequest.AskApproval(step, workerIds, withinMs), withinMs)
        .thenCompose(
            reply ->
                reply instanceof PeerReply.ApprovalReply approvals
                    ? completedFuture(approvals.approvals())
                    : CompletableFuture.failedFuture(
                        new PlatformException(
                            PlatformException.Type.REFUSED, "no approvals from " + host)));
  }

  private void closeScheduler() {
    JobScheduler closing = scheduler;
    scheduler = null;
    elected = false;
    if (closing != null) {
      closing.close();
    }
  }

  /** Starts and closes the scheduler as this host's role changes. */
  private final class ElectionListener implements CoordinatorElection.Listener {

    @Override
    public void onElected(CoordinatorRecord self) {
      closeScheduler();
      JobScheduler starting =
          new JobScheduler(
              loop,
              log,
              workers,
              settings,
              self.epoch(),
              election::coordinatorLeaseEndsNs,
              election.heartbeats(),
              election.hostStarts(),
              new WorkerCatalog(loop, log, decoder, settings.workerHeartbeatMs()),
              new ApprovalDispatcher(loop, Shard.this::requestApprovals, hosts::addresses, metrics),
              metrics,
              customers,
              election::stepDown);
      scheduler = starting;
      elected = true;
      starting.start();
    }

    @Override
    public void onDeposed(String reason) {
      closeScheduler();
    }

    @Override
    public void onStoreLost(long epoch, long confirmedOffset) {
      long sinceNs = loop.nowNs() - takeoverRequestedNs;
      if (sinceNs < TimeUnit.MILLISECONDS.toNanos(TAKEOVER_REQUEST_INTERVAL_MS)) {
        return;
      }
      takeoverRequestedNs = loop.nowNs();
      for (String peer : randomPeers(TAKEOVER_REQUEST_PEERS)) {
        var unused =
            peers.call(
                peer, new PeerRequest.RequestTakeover(epoch, confirmedOffset), QUERY_TIMEOUT_MS);
      }
    }
  }
}
