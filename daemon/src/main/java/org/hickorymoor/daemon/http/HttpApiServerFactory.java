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

/** Puts the HTTP interface together. */
public final class HttpApiServerFactory {

  private HttpApiServerFactory() {}

  /**
   * What the process says of itself.
   *
   * @param cell fields of {@code /v1/cell}
   * @param metrics fields of {@code /metrics}
   * @param ready whether callers should be sent here
   */
  public record StatusSuppliers(
      Supplier<Map<String, Object>> cell,
      Supplier<Map<String, Object>> metrics,
      Supplier<Boolean> ready) {}

  /**
   * What is in force and how to change it.
   *
   * @param service knows the configuration
   * @param publisher changes it
   * @param audit keeps who changed what
   * @param knownWorker tells whether there is a worker of a name
   */
  public record ConfigDependencies(
      ConfigService service,
      AuditedPublisher publisher,
      AuditTrail audit,
      Predicate<String> knownWorker) {}

  /**
   * Makes the interface of a daemon, not started.
   *
   * @param bind ip:port to serve at
   * @param domain failure domain of this host
   * @param jobs submits jobs
   * @param router brings other requests to coordinators
   * @param config what is in force and how to change it
   * @param statusSuppliers what the process says of itself
   * @return the interface
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
