package org.hickorymoor.standins.worker;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import org.hickorymoor.protocol.platform.StartCommand;
import org.hickorymoor.protocol.platform.SyncCommand;
import org.hickorymoor.protocol.platform.TaskCommand;
import org.hickorymoor.standins.http.Exchange;
import org.hickorymoor.standins.http.HttpService;
import org.hickorymoor.standins.http.MalformedCallException;
import org.jspecify.annotations.Nullable;

/**
 * A worker that runs whatever it is given and writes down every overload and double run.
 *
 * <pre>{@code
 * WorkerStandIn worker = new WorkerStandIn(WorkerSettings.of("w1", "kano", "rack-1", capacity));
 * worker.start();
 * // ... give it work over HTTP at worker.address() ...
 * assertThat(worker.record().overloads()).isEmpty();
 * worker.stop();
 * }</pre>
 *
 * <p>It speaks the worker part of {@code docs/PLATFORM.md}, and for tests {@code GET /v1/record}
 * with a {@link WorkerRecord}, {@code POST /v1/noise} with a {@link WorkerNoise} and {@code POST
 * /v1/drain-factor} with {@code {"percent":25}}. A stop ends all that runs, a later start has the
 * same address, another incarnation and the same record. Safe for use by several threads.
 */
public final class WorkerStandIn {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int STATUS_NOT_FOUND = 404;

  private final WorkerSettings settings;
  private final WorkerClock clock = new WorkerClock();
  private final WorkerState state;
  private final HttpService http;
  private volatile @Nullable Settler settler;

  /** Body of a change of the drain factor. */
  private record DrainFactor(int percent) {}

  /**
   * Makes the worker without starting it.
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
   * Starts with nothing running, under a fresh incarnation.
   *
   * @throws IOException if the port can't be bound
   * @throws IllegalStateException if the worker runs
   */
  public void start() throws IOException {
    checkState(settler == null, "expected worker %s to be stopped", settings.workerId());
    state.restart();
    settler = new Settler(state, clock, "worker-settle-" + settings.workerId());
    http.start();
    logger.atFine().log("worker: %s serves at %s", settings.workerId(), http.address());
  }

  /** Stops, which ends everything that runs. Does nothing if the worker does not run. */
  public void stop() {
    http.stop();
    Settler stopping = settler;
    settler = null;
    if (stopping != null) {
      stopping.stop();
      state.restart();
    }
  }

  /**
   * Returns where the worker is reached.
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
   * Returns what the worker saw since it was made.
   *
   * @return a copy
   */
  public WorkerRecord record() {
    return state.record();
  }

  /**
   * Returns how far behaviour is from what was declared.
   *
   * @return the noise
   */
  public WorkerNoise noise() {
    return state.noise();
  }

  /**
   * Changes how far behaviour is from what was declared; what runs changes with it.
   *
   * @param noise the noise from now on
   */
  public void setNoise(WorkerNoise noise) {
    state.setNoise(noise);
    settle();
  }

  private void handle(Exchange exchange) throws MalformedCallException {
    switch (exchange.target()) {
      case "GET /v1/info" -> exchange.reply(state.info());
      case "POST /v1/start" -> exchange.reply(state.start(startCommand(exchange)));
      case "POST /v1/sync" -> state.sync(exchange.body(SyncCommand.class), exchange::reply);
      case "POST /v1/stop" -> exchange.reply(state.stop(taskCommand(exchange)));
      case "POST /v1/throttle" -> exchange.reply(state.throttle(throttleCommand(exchange)));
      case "POST /v1/checkpoint" -> exchange.reply(state.checkpoint(taskCommand(exchange)));
      case "GET /v1/record" -> exchange.reply(state.record());
      case "GET /v1/noise" -> exchange.reply(state.noise());
      case "POST /v1/noise" -> changeNoise(exchange, exchange.body(WorkerNoise.class));
      case "POST /v1/drain-factor" -> changeNoise(exchange, drainFactor(exchange));
      default ->
          exchange.refuse(
              STATUS_NOT_FOUND,
              "not_found",
              "expected a call of a worker, got " + exchange.target());
    }
    settle();
  }

  private void settle() {
    Settler current = settler;
    if (current != null) {
      current.settle();
    }
  }

  private void changeNoise(Exchange exchange, WorkerNoise noise) {
    state.setNoise(noise);
    exchange.reply(noise);
  }

  private WorkerNoise drainFactor(Exchange exchange) throws MalformedCallException {
    int percent = exchange.body(DrainFactor.class).percent();
    if (percent < 0) {
      throw new MalformedCallException(
          "expected percent of at least 0 at " + exchange.path() + ", got " + percent);
    }
    return state.noise().withDrainPercent(percent);
  }

  private static StartCommand startCommand(Exchange exchange) throws MalformedCallException {
    StartCommand command = exchange.body(StartCommand.class);
    requireField("taskId", command.taskId(), exchange);
    requireField("demand", command.demand(), exchange);
    return command;
  }

  private static TaskCommand taskCommand(Exchange exchange) throws MalformedCallException {
    TaskCommand command = exchange.body(TaskCommand.class);
    requireField("taskId", command.taskId(), exchange);
    return command;
  }

  private static TaskCommand throttleCommand(Exchange exchange) throws MalformedCallException {
    TaskCommand command = taskCommand(exchange);
    if (command.percent() < 0 || command.percent() > Run.FULL_PERCENT) {
      throw new MalformedCallException(
          "expected percent from 0 to 100 at " + exchange.path() + ", got " + command.percent());
    }
    return command;
  }

  private static void requireField(String name, @Nullable Object value, Exchange exchange)
      throws MalformedCallException {
    if (value == null) {
      throw new MalformedCallException(
          "expected the field " + name + " in the body of " + exchange.path() + ", got none");
    }
  }
}
