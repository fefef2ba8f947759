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
 * Holds this host's {@link ConfigState} under a lock and tells of its changes.
 *
 * <p>Safe for use by several threads. Listeners are called outside the lock.
 */
final class ConfigStore {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Object lock = new Object();
  private final Object tellLock = new Object();
  private final List<ConfigListener> listeners = new CopyOnWriteArrayList<>();
  private final List<Runnable> watchers = new CopyOnWriteArrayList<>();

  // Guarded by lock.
  private ConfigState state = new ConfigState();

  // Guarded by tellLock.
  private long toldVersion;

  /** Adds a listener, which is told the configuration in force at once. */
  void addListener(ConfigListener listener) {
    synchronized (tellLock) {
      listeners.add(listener);
      tell(listener, view());
    }
  }

  /** Adds a task that runs after each record. */
  void addWatcher(Runnable watcher) {
    watchers.add(watcher);
  }

  void apply(long offset, ConfigRecord record) {
    synchronized (lock) {
      state.apply(offset, record);
    }
    changed();
  }

  void missUpTo(long offset) {
    synchronized (lock) {
      state.missUpTo(offset);
    }
    changed();
  }

  boolean adopt(ConfigRecord.Snapshot snapshot) {
    boolean adopted;
    synchronized (lock) {
      adopted = state.adopt(snapshot);
    }
    if (adopted) {
      changed();
    }
    return adopted;
  }

  /** Forgets what was read if nothing of it is in force, and tells whether it did. */
  boolean forgetIfNothingInForce() {
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

  /** Returns the whole state as one record, or nothing if it can't vouch for a later offset. */
  List<LogRecord> recordsAfter(long offset, long wallClockMs) {
    synchronized (lock) {
      if (!state.isComplete() || state.appliedOffset() <= offset) {
        return List.of();
      }
      String data = ConfigRecordCodec.snapshot(state.snapshot(wallClockMs));
      return List.of(new LogRecord(state.appliedOffset(), data));
    }
  }

  /** Reads the state under the lock. */
  <T> T read(Function<ConfigState, T> query) {
    synchronized (lock) {
      return query.apply(state);
    }
  }

  private void changed() {
    synchronized (tellLock) {
      ConfigView view = view();
      if (view.config().version() > toldVersion) {
        toldVersion = view.config().version();
        logger.atInfo().log("config: version %s in force, offset %s", toldVersion, view.offset());
        listeners.forEach(listener -> tell(listener, view));
      }
    }
    watchers.forEach(Runnable::run);
  }

  private static void tell(ConfigListener listener, ConfigView view) {
    try {
      listener.onConfig(view);
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("config: a listener failed");
    }
  }
}
