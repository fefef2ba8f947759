package org.hickorymoor.daemon.http;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.hickorymoor.daemon.audit.AuditTrail;
import org.hickorymoor.daemon.config.AuditedPublisher;
import org.hickorymoor.daemon.config.ConfigService;
import org.hickorymoor.daemon.entry.JobService;
import org.hickorymoor.daemon.entry.Router;

/** Creates the HTTP server with all resources of the daemon. */
public final class HttpApiServerFactory {

  private HttpApiServerFactory() {}

  /**
   * Suppliers of the daemon's status.
   *
   * @param cell supplies the fields of {@code /v1/cell}
   * @param metrics supplies the fields of {@code /metrics}
   * @param ready whether the daemon is ready for callers' requests
   */
  public record StatusSuppliers(
      Supplier<Map<String, Object>> cell,
      Supplier<Map<String, Object>> metrics,
      Supplier<Boolean> ready) {}

  /**
   * Services that the configuration resource uses.
   *
   * @param service provides the current configuration and its history
   * @param publisher publishes new configurations
   * @param audit audit trail of configuration changes
   * @param knownWorker tests whether a worker id is in the host list
   */
  public record ConfigDependencies(
      ConfigService service,
      AuditedPublisher publisher,
      AuditTrail audit,
      Predicate<String> knownWorker) {}

  /**
   * Creates the HTTP server of a daemon without starting it.
   *
   * @param bind ip:port to bind
   * @param domain failure domain of this host
   * @param jobs submits jobs
   * @param router routes all other requests to coordinators
   * @param config services of the configuration resource
   * @param statusSuppliers suppliers of the daemon's status
   * @return the server
   */
  public static HttpApiServer of(
      String bind,
      String domain,
      JobService jobs,
      Router router,
      ConfigDependencies config,
      StatusSuppliers statusSuppliers) {
    int colon = bind.lastIndexOf(':');
    String host = bind.substring(0, colon);
    int port = Integer.parseInt(bind.substring(colon + 1));
    return new HttpApiServer(
        host,
        port,
        List.of(
            new JobResource(domain, jobs, router),
            new CellResource(domain, router, statusSuppliers),
            new ConfigResource(config)));
  }
}
