package org.hickorymoor.standins.worker;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import org.hickorymoor.protocol.platform.StartCommand;
import org.hickorymoor.protocol.platform.SyncCommand;
import org.hickorymoor.protocol.platform.TaskCommand;
import org.hickorymoor.standins.http.Exchange;
import org.hickorymoor.standins.http.HttpService;
import org.hickorymoor.standins.http.MalformedRequestException;
import org.jspecify.annotations.Nullable;

/**
 * A simulated worker that accepts every start and records overloads and double runs.
 *
 * <pre>{@code
 * WorkerStandIn worker = new WorkerStandIn(WorkerSettings.of("w1", "kano", "rack-1", capacity));
 * worker.start();
 * // ... start tasks over HTTP at worker.address() ...
 * assertThat(worker.record().overloads()).isEmpty();
 * worker.stop();
 * }</pre>
 *
 * <p>Implements the worker API of {@code docs/PLATFORM.md} and, for tests, {@code GET /v1/record}
 * with a {@link WorkerRecord}, {@code POST /v1/noise} with a {@link WorkerFaults} and {@code POST
 * /v1/drain-factor} with {@code {"percent":25}}. Stopping ends all running tasks; a restarted
 * worker has the same address, a new incarnation and the same record. Thread-safe.
 */
public final class WorkerStandIn {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int STATUS_NOT_FOUND = 404;

  private final WorkerSettings settings;
  private final WorkerClock clock = new WorkerClock();
  private final WorkerState state;
  private final HttpService http;
  private volatile @Nullable EventTimer eventTimer;

  /** Body of a request that sets the drain factor. */
  private record DrainFactor(int percent) {}

  /**
   * Creates the worker without starting it.
   *
   * @param settings its settings
   */
  public WorkerStandIn(WorkerSettings settings) {
    this.settings = settings;
    this.state = new WorkerState(settings, clock);
    this.http =
        new HttpService(
            "worker-" + settings.workerId(), settings.bindHost(), settings.port(), this::handle);
  }

  /**
   * Starts with no running tasks and a new incarnation.
   *
   * @throws IOException if the port can't be bound
   * @throws IllegalStateException if the worker is running
   */
  public void start() throws IOException {
    checkState(eventTimer == null, "expected worker %s to be stopped", settings.workerId());
    state.restart();
    eventTimer = new EventTimer(state, clock, "worker-settle-" + settings.workerId());
    http.start();
    logger.atFine().log("worker: %s serves at %s", settings.workerId(), http.address());
  }

  /** Stops the worker and ends all running tasks. No-op if the worker is not running. */
  public void stop() {
    http.stop();
    EventTimer stopping = eventTimer;
    eventTimer = null;
    if (stopping != null) {
      stopping.stop();
      state.restart();
    }
  }

  /**
   * Returns the address at which the worker serves.
   *
   * @return {@code ip:port}
   */
  public String address() {
    return http.address();
  }

  /**
   * Returns the settings.
   *
   * @return the settings given at construction
   */
  public WorkerSettings settings() {
    return settings;
  }

  /**
   * Returns the record of the worker since its construction.
   *
   * @return a copy
   */
  public WorkerRecord record() {
    return state.record();
  }

  /**
   * Returns the faults in force.
   *
   * @return the faults
   */
  public WorkerFaults faults() {
    return state.faults();
  }

  /**
   * Replaces the faults; they apply to running tasks as well.
   *
   * @param faults the faults from now on
   */
  public void setFaults(WorkerFaults faults) {
    state.setFaults(faults);
    processDueEvents();
  }

  private void handle(Exchange exchange) throws MalformedRequestException {
    switch (exchange.target()) {
      case "GET /v1/info" -> exchange.reply(state.info());
      case "POST /v1/start" -> exchange.reply(state.start(startCommand(exchange)));
      case "POST /v1/sync" -> state.sync(exchange.body(SyncCommand.class), exchange::reply);
      case "POST /v1/stop" -> exchange.reply(state.stop(taskCommand(exchange)));
      case "POST /v1/throttle" -> exchange.reply(state.throttle(throttleCommand(exchange)));
      case "POST /v1/checkpoint" -> exchange.reply(state.checkpoint(taskCommand(exchange)));
      case "GET /v1/record" -> exchange.reply(state.record());
      case "GET /v1/noise" -> exchange.reply(state.faults());
      case "POST /v1/noise" -> replaceFaults(exchange, exchange.body(WorkerFaults.class));
      case "POST /v1/drain-factor" -> replaceFaults(exchange, drainFactor(exchange));
      default ->
          exchange.replyError(
              STATUS_NOT_FOUND,
              "not_found",
              "expected a path of the worker API, got " + exchange.target());
    }
    processDueEvents();
  }

  private void processDueEvents() {
    EventTimer current = eventTimer;
    if (current != null) {
      current.processDueEvents();
    }
  }

  private void replaceFaults(Exchange exchange, WorkerFaults faults) {
    state.setFaults(faults);
    exchange.reply(faults);
  }

  private WorkerFaults drainFactor(Exchange exchange) throws MalformedRequestException {
    int percent = exchange.body(DrainFactor.class).percent();
    if (percent < 0) {
      throw new MalformedRequestException(
          "expected percent of at least 0 at " + exchange.path() + ", got " + percent);
    }
    return state.faults().withDrainPercent(percent);
  }

  private static StartCommand startCommand(Exchange exchange) throws MalformedRequestException {
    StartCommand command = exchange.body(StartCommand.class);
    requireField("taskId", command.taskId(), exchange);
    requireField("demand", command.demand(), exchange);
    return command;
  }

  private static TaskCommand taskCommand(Exchange exchange) throws MalformedRequestException {
    TaskCommand command = exchange.body(TaskCommand.class);
    requireField("taskId", command.taskId(), exchange);
    return command;
  }

  private static TaskCommand throttleCommand(Exchange exchange) throws MalformedRequestException {
    TaskCommand command = taskCommand(exchange);
    if (command.percent() < 0 || command.percent() > Run.FULL_PERCENT) {
      throw new MalformedRequestException(
          "expected percent from 0 to 100 at " + exchange.path() + ", got " + command.percent());
    }
    return command;
  }

  private static void requireField(String name, @Nullable Object value, Exchange exchange)
      throws MalformedRequestException {
    if (value == null) {
      throw new MalformedRequestException(
          "expected the field " + name + " in the body of " + exchange.path() + ", got none");
    }
  }
}
