package org.hickorymoor.daemon.config;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import org.hickorymoor.domain.config.ConfigRecord;
import org.hickorymoor.domain.config.ConfigState;
import org.hickorymoor.protocol.config.ConfigRecordCodec;
import org.hickorymoor.protocol.platform.LogRecord;

/**
 * Guards this host's {@link ConfigState} by a lock and notifies listeners of its changes.
 *
 * <p>Thread-safe. Listeners are called without the lock on the state, but under a lock of their own
 * that serializes the notifications.
 */
final class ConfigStore {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Object lock = new Object();
  private final Object notificationLock = new Object();
  private final List<ConfigListener> listeners = new CopyOnWriteArrayList<>();
  private final List<Runnable> updateCallbacks = new CopyOnWriteArrayList<>();

  // Guarded by lock.
  private ConfigState state = new ConfigState();

  // Guarded by notificationLock.
  private long notifiedVersion;

  /** Adds a listener and calls it at once with the configuration in effect. */
  void addListener(ConfigListener listener) {
    synchronized (notificationLock) {
      listeners.add(listener);
      notifyListener(listener, view());
    }
  }

  /** Adds a callback that runs after each update of the state, even if the version is unchanged. */
  void addUpdateCallback(Runnable callback) {
    updateCallbacks.add(callback);
  }

  void apply(long offset, ConfigRecord record) {
    synchronized (lock) {
      state.apply(offset, record);
    }
    stateChanged();
  }

  void skipTo(long offset) {
    synchronized (lock) {
      state.skipTo(offset);
    }
    stateChanged();
  }

  boolean adopt(ConfigRecord.Snapshot snapshot) {
    boolean adopted;
    synchronized (lock) {
      adopted = state.adopt(snapshot);
    }
    if (adopted) {
      stateChanged();
    }
    return adopted;
  }

  /** Resets the state if no configuration has taken effect yet, and returns whether it did. */
  boolean resetIfUnpublished() {
    synchronized (lock) {
      if (state.config().version() > 0) {
        return false;
      }
      state = new ConfigState();
      return true;
    }
  }

  ConfigView view() {
    return read(now -> new ConfigView(now.config(), now.configOffset()));
  }

  /** Returns the state as one snapshot record; empty if it has a gap or is not past the offset. */
  List<LogRecord> recordsAfter(long offset, long wallClockMs) {
    synchronized (lock) {
      if (!state.isComplete() || state.appliedOffset() <= offset) {
        return List.of();
      }
      String data = ConfigRecordCodec.encodeSnapshot(state.snapshot(wallClockMs));
      return List.of(new LogRecord(state.appliedOffset(), data));
    }
  }

  /** Evaluates a query on the state under the lock. */
  <T> T read(Function<ConfigState, T> query) {
    synchronized (lock) {
      return query.apply(state);
    }
  }

  private void stateChanged() {
    synchronized (notificationLock) {
      ConfigView view = view();
      if (view.config().version() > notifiedVersion) {
        notifiedVersion = view.config().version();
        logger.atInfo().log(
            "config: version %s took effect at offset %s", notifiedVersion, view.offset());
        listeners.forEach(listener -> notifyListener(listener, view));
      }
    }
    updateCallbacks.forEach(Runnable::run);
  }

  private static void notifyListener(ConfigListener listener, ConfigView view) {
    try {
      listener.onConfig(view);
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("config: listener threw an exception");
    }
  }
}
