package org.hickorymoor.daemon.http;

import com.google.gson.JsonParser;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.Predicate;
import org.hickorymoor.daemon.audit.AuditEntry;
import org.hickorymoor.daemon.audit.AuditFilter;
import org.hickorymoor.daemon.audit.AuditTrail;
import org.hickorymoor.daemon.config.AuditedPublisher;
import org.hickorymoor.daemon.config.ConfigService;
import org.hickorymoor.daemon.config.ConfigView;
import org.hickorymoor.daemon.config.PublishResult;
import org.hickorymoor.domain.config.AcceptedPublication;
import org.hickorymoor.domain.config.ClusterConfig;
import org.hickorymoor.protocol.caller.ErrorBody;
import org.hickorymoor.protocol.caller.ErrorTypes;
import org.hickorymoor.protocol.config.ConfigCodec;
import org.hickorymoor.protocol.json.InvalidRecordException;
import org.hickorymoor.protocol.json.Problem;

/** Serves {@code /v1/config}, {@code /v1/audit} and the drain flags of workers. Thread-safe. */
final class ConfigResource implements HttpApiServer.Resource {

  private static final int DEFAULT_LIMIT = 100;
  private static final int MAX_LIMIT = 1_000;
  private static final int DRAIN_PATH_SEGMENTS = 4;
  private static final int MAX_DRAIN_ATTEMPTS = 5;

  private final ConfigService config;
  private final AuditedPublisher publisher;
  private final AuditTrail audit;
  private final Predicate<String> knownWorker;

  ConfigResource(HttpApiServerFactory.ConfigDependencies dependencies) {
    this.config = dependencies.service();
    this.publisher = dependencies.publisher();
    this.audit = dependencies.audit();
    this.knownWorker = dependencies.knownWorker();
  }

  @Override
  public boolean handle(HttpCall call) throws BadRequestException {
    String target = call.method() + " /" + String.join("/", call.path());
    switch (target) {
      case "GET /v1/config" -> replyCurrent(call);
      case "POST /v1/config" -> publish(call);
      case "GET /v1/config/history" -> history(call);
      case "GET /v1/audit" -> audit(call);
      default -> {
        return drain(call);
      }
    }
    return true;
  }

  private void replyCurrent(HttpCall call) {
    ConfigView view = config.current();
    call.reply(
        HttpCall.OK,
        Map.of(
            "version",
            view.config().version(),
            "offset",
            view.offset(),
            "record",
            JsonParser.parseString(ConfigCodec.toJson(view.config()))));
  }

  private void publish(HttpCall call) throws BadRequestException {
    long version = config.current().config().version();
    long expected = call.queryNumber("expectedVersion", version, Long.MAX_VALUE);
    publisher
        .publish(call.body(), expected, call.actor(), UUID.randomUUID().toString())
        .thenAccept(result -> replyPublished(call, expected, result));
  }

  private static void replyPublished(HttpCall call, long expected, PublishResult result) {
    if (result instanceof PublishResult.Accepted accepted) {
      call.reply(HttpCall.OK, Map.of("version", accepted.version(), "offset", accepted.offset()));
    } else if (result instanceof PublishResult.Conflict conflict) {
      conflict(call, expected, conflict);
    } else if (result instanceof PublishResult.Invalid invalid) {
      InvalidRecordException invalidRecord = new InvalidRecordException(invalid.problems());
      call.reply(HttpCall.BAD_REQUEST, ErrorBody.of(ErrorTypes.INVALID_RECORD, invalidRecord));
    } else if (result instanceof PublishResult.NotPublished refused) {
      String message = "the record was not accepted: " + refused.reason() + "; try again";
      call.replyError(HttpCall.UNAVAILABLE, ErrorTypes.UNAVAILABLE, message);
    } else {
      String message =
          "it is not known whether the record was accepted; check the configuration history";
      call.replyError(HttpCall.UNAVAILABLE, ErrorTypes.UNAVAILABLE, message);
    }
  }

  private static void conflict(HttpCall call, long expected, PublishResult.Conflict conflict) {
    Problem problem =
        new Problem(
            "expectedVersion", String.valueOf(conflict.currentVersion()), String.valueOf(expected));
    AcceptedPublication winner = conflict.winner();
    String by = winner == null ? "" : " by " + winner.who();
    String message =
        "version "
            + conflict.currentVersion()
            + by
            + " was published first; fetch it and publish again";
    call.reply(
        HttpCall.CONFLICT,
        new ErrorBody(
            new ErrorBody.Detail(ErrorTypes.VERSION_CONFLICT, message, List.of(problem))));
  }

  private void history(HttpCall call) throws BadRequestException {
    int limit = (int) call.queryNumber("limit", DEFAULT_LIMIT, MAX_LIMIT);
    List<AcceptedPublication> newestFirst =
        config.history().stream()
            .sorted((left, right) -> Long.compare(right.version(), left.version()))
            .limit(limit)
            .toList();
    call.reply(HttpCall.OK, Map.of("versions", newestFirst));
  }

  private void audit(HttpCall call) throws BadRequestException {
    int limit = (int) Math.max(1, call.queryNumber("limit", DEFAULT_LIMIT, MAX_LIMIT));
    AuditFilter filter =
        new AuditFilter(
            call.query("who"), call.query("what"), call.query("target"), Long.MIN_VALUE, limit);
    List<AuditEntry> entries = audit.read(filter);
    call.reply(HttpCall.OK, Map.of("entries", entries));
  }

  private boolean drain(HttpCall call) {
    List<String> path = call.path();
    boolean undo = call.method().equals("DELETE");
    boolean matches =
        path.size() == DRAIN_PATH_SEGMENTS
            && path.get(0).equals("v1")
            && path.get(1).equals("workers")
            && path.get(3).equals("drain")
            && (undo || call.method().equals("PUT"));
    if (matches && !knownWorker.test(path.get(2))) {
      String message = "no worker " + path.get(2) + " is listed in this failure domain";
      call.replyError(HttpCall.NOT_FOUND, ErrorTypes.UNKNOWN_WORKER, message);
    } else if (matches) {
      publishDrain(call, path.get(2), !undo, MAX_DRAIN_ATTEMPTS);
    }
    return matches;
  }

  /**
   * Publishes the current configuration with the drain flag of one worker changed; after a version
   * conflict, retries on the newer configuration.
   */
  private void publishDrain(HttpCall call, String workerId, boolean drained, int attemptsLeft) {
    ClusterConfig current = config.current().config();
    String body = ConfigCodec.toJson(current.withDrained(workerId, drained));
    publisher
        .publish(body, current.version(), call.actor(), UUID.randomUUID().toString())
        .thenAccept(
            result -> {
              if (result instanceof PublishResult.Conflict && attemptsLeft > 1) {
                publishDrain(call, workerId, drained, attemptsLeft - 1);
              } else {
                replyPublished(call, current.version(), result);
              }
            });
  }
}
