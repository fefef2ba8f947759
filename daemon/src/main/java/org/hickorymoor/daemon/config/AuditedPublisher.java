package org.hickorymoor.daemon.config;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.hickorymoor.daemon.audit.AuditEntry;
import org.hickorymoor.daemon.audit.AuditTrail;
import org.hickorymoor.protocol.json.EnumNames;

/**
 * Publishes configurations and records each attempt in the audit trail.
 *
 * <p>Thread-safe.
 */
public final class AuditedPublisher {

  private static final String PUBLISH_ACTION = "config.publish";
  private static final String RESTORE_ACTION = "config.restore";
  private static final String TARGET = "config";

  private final ConfigService service;
  private final AuditTrail trail;
  private final LongSupplier wallClockMs;

  /**
   * Creates a publisher.
   *
   * @param service service that publishes the configurations
   * @param trail audit trail that receives one entry per attempt
   * @param wallClockMs wall-clock time in ms since the epoch
   */
  public AuditedPublisher(ConfigService service, AuditTrail trail, LongSupplier wallClockMs) {
    this.service = requireNonNull(service, "service");
    this.trail = requireNonNull(trail, "trail");
    this.wallClockMs = requireNonNull(wallClockMs, "wallClockMs");
  }

  /**
   * Publishes a configuration, see {@link ConfigService#publish}.
   *
   * @param bodyJson the configuration as JSON
   * @param expectedVersion version that it replaces
   * @param who operator that publishes
   * @param publishId unique id of this publish
   * @return the result
   */
  public CompletableFuture<PublishResult> publish(
      String bodyJson, long expectedVersion, String who, String publishId) {
    return service
        .publish(bodyJson, expectedVersion, who, publishId)
        .whenComplete(
            (result, failure) ->
                record(PUBLISH_ACTION, Long.toString(expectedVersion), who, publishId, result));
  }

  /**
   * Restores the configuration of a stream whose state is lost, see {@link ConfigService#restore}.
   *
   * @param bodyJson the configuration as JSON
   * @param who operator that restores
   * @param publishId unique id of this restore
   * @return the result
   */
  public CompletableFuture<PublishResult> restore(String bodyJson, String who, String publishId) {
    return service
        .restore(bodyJson, who, publishId)
        .whenComplete((result, failure) -> record(RESTORE_ACTION, "", who, publishId, result));
  }

  private void record(
      String what, String before, String who, String publishId, PublishResult result) {
    String after =
        result instanceof PublishResult.Accepted accepted ? Long.toString(accepted.version()) : "";
    var unused =
        trail.record(
            new AuditEntry(
                wallClockMs.getAsLong(),
                who,
                what,
                TARGET + "/" + publishId,
                before,
                after,
                outcome(result)));
  }

  private static String outcome(PublishResult result) {
    if (result instanceof PublishResult.Accepted) {
      return "accepted";
    }
    if (result instanceof PublishResult.Conflict conflict) {
      return "conflict with version " + conflict.currentVersion();
    }
    if (result instanceof PublishResult.Invalid invalid) {
      return "invalid, " + invalid.problems().size() + " problems";
    }
    if (result instanceof PublishResult.NotPublished refused) {
      return "not published, " + EnumNames.toKebabCase(refused.reason());
    }
    return "unknown";
  }
}
