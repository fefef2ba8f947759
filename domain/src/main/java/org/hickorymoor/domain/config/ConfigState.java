package org.hickorymoor.domain.config;

import static com.google.common.base.Preconditions.checkState;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.hickorymoor.domain.config.ConfigRecord.Malformed;
import org.hickorymoor.domain.config.ConfigRecord.Publication;
import org.hickorymoor.domain.config.ConfigRecord.Snapshot;

/**
 * Applies the records of the configuration stream; all hosts that applied the same ones agree.
 *
 * <pre>{@code
 * ConfigState state = new ConfigState();
 * state.apply(0, new Publication(id, 0, "ada", nowMs, new ConfigBody.Valid(config)));
 * state.config().version(); // 1
 * }</pre>
 *
 * <p>A publication comes into force if and only if it expects the version in force, its id is not
 * that of one that came into force before, and its body is valid. The offset order thus decides
 * between racing operators. The version never goes down.
 *
 * <p>A state that misses records, by retention or because it could not read one, is incomplete: it
 * keeps its version in force and holds later records back until a {@link Snapshot} covers what it
 * misses. Not safe for use by several threads.
 */
public final class ConfigState {

  /** Accepted publications that are remembered. */
  public static final int HISTORY_SIZE = 64;

  /** Records next back at most by an incomplete state. */
  static final int MAX_BUFFERED_RECORDS = 256;

  private static final long NO_OFFSET = -1;

  private final Deque<AcceptedPublication> history = new ArrayDeque<>();
  private final Deque<BufferedRecord> buffered = new ArrayDeque<>();
  private ClusterConfig config = ClusterConfig.DEFAULT;
  private long configOffset = NO_OFFSET;
  private long appliedOffset = NO_OFFSET;
  private long readOffset = NO_OFFSET;
  private boolean complete = true;

  /** First offset from which on nothing is missed. */
  private long bufferStartOffset;

  private record BufferedRecord(long offset, ConfigRecord record) {}

  /**
   * Applies the next record; one already applied has no effect.
   *
   * @param offset its offset
   * @param record the record
   */
  public void apply(long offset, ConfigRecord record) {
    if (offset <= readOffset) {
      return;
    }
    if (offset > readOffset + 1) {
      skipTo(offset);
    }
    readOffset = offset;
    if (complete) {
      applyNext(offset, record);
    } else {
      buffer(offset, record);
    }
  }

  /**
   * Notes that records can no longer be read.
   *
   * @param toOffset first offset that can be read again
   */
  public void skipTo(long toOffset) {
    if (toOffset <= readOffset + 1) {
      return;
    }
    readOffset = toOffset - 1;
    becomeIncomplete(toOffset);
  }

  /**
   * Adopts the state of another host, if it is ahead.
   *
   * @param snapshot the other state
   * @return whether anything changed
   */
  public boolean adopt(Snapshot snapshot) {
    if (snapshot.asOfOffset() <= appliedOffset
        || snapshot.version() < config.version()
        || !(snapshot.body() instanceof ConfigBody.Valid body)) {
      return false;
    }
    install(snapshot, body.config());
    if (!complete && snapshot.asOfOffset() >= bufferStartOffset - 1) {
      applyBuffered();
    }
    readOffset = Math.max(readOffset, appliedOffset);
    return true;
  }

  /**
   * Returns the configuration in force.
   *
   * @return the configuration with its version
   */
  public ClusterConfig config() {
    return config;
  }

  /**
   * Returns the offset of the record that brought the configuration into force.
   *
   * @return the offset, or -1 if none was ever published
   */
  public long configOffset() {
    return configOffset;
  }

  /**
   * Returns the offset up to which every record is applied.
   *
   * @return the offset, or -1 if there was none
   */
  public long appliedOffset() {
    return appliedOffset;
  }

  /**
   * Tells whether no record is missed.
   *
   * @return false from a missed or unreadable record on until a snapshot covers it
   */
  public boolean isComplete() {
    return complete;
  }

  /**
   * Returns the newest publications that came into force.
   *
   * @return at most {@link #HISTORY_SIZE}, oldest first
   */
  public List<AcceptedPublication> history() {
    return List.copyOf(history);
  }

  /**
   * Writes down this state for others. It must be complete.
   *
   * @param atMs wall-clock time now
   * @return the snapshot
   */
  public Snapshot snapshot(long atMs) {
    checkState(complete, "an incomplete state can't vouch for offset %s", appliedOffset);
    return new Snapshot(
        appliedOffset,
        config.version(),
        configOffset,
        List.copyOf(history),
        atMs,
        new ConfigBody.Valid(config));
  }

  /**
   * Says what became of a publication. A outcome other than undecided is final.
   *
   * @param id its id
   * @param expectedVersion version that it expected
   * @return the outcome
   */
  public PublicationOutcome outcome(String id, long expectedVersion) {
    for (AcceptedPublication accepted : history) {
      if (accepted.id().equals(id)) {
        return new PublicationOutcome.Accepted(accepted.version(), accepted.offset());
      }
    }
    for (AcceptedPublication accepted : history) {
      if (accepted.version() == expectedVersion + 1) {
        return new PublicationOutcome.Conflict(accepted);
      }
    }
    return new PublicationOutcome.Undecided();
  }

  private void applyNext(long offset, ConfigRecord record) {
    boolean readable = true;
    if (record instanceof Publication publication) {
      readable = applyPublication(offset, publication);
    } else if (record instanceof Snapshot snapshot) {
      readable = applySnapshot(snapshot);
    }
    if (readable) {
      appliedOffset = offset;
    } else {
      becomeIncomplete(offset + 1);
    }
  }

  private boolean applyPublication(long offset, Publication publication) {
    if (publication.expectedVersion() != config.version() || isInHistory(publication.id())) {
      return true;
    }
    if (publication.body() instanceof ConfigBody.Valid body) {
      accept(offset, publication, body.config());
    }
    return !(publication.body() instanceof ConfigBody.Unreadable);
  }

  /** A snapshot of a higher version is an operator's restart of a stream that lost its state. */
  private boolean applySnapshot(Snapshot snapshot) {
    if (snapshot.version() <= config.version()) {
      return true;
    }
    if (snapshot.body() instanceof ConfigBody.Valid body) {
      install(snapshot, body.config());
    }
    return !(snapshot.body() instanceof ConfigBody.Unreadable);
  }

  private void accept(long offset, Publication publication, ClusterConfig body) {
    long version = config.version() + 1;
    config = body.withVersion(version);
    configOffset = offset;
    history.addLast(
        new AcceptedPublication(
            version, offset, publication.id(), publication.who(), publication.atMs()));
    if (history.size() > HISTORY_SIZE) {
      history.removeFirst();
    }
  }

  private boolean isInHistory(String id) {
    return history.stream().anyMatch(accepted -> accepted.id().equals(id));
  }

  private void install(Snapshot snapshot, ClusterConfig body) {
    config = body.withVersion(snapshot.version());
    configOffset = snapshot.versionOffset();
    appliedOffset = Math.max(appliedOffset, snapshot.asOfOffset());
    history.clear();
    history.addAll(snapshot.history());
  }

  private void becomeIncomplete(long fromOffset) {
    complete = false;
    buffered.clear();
    bufferStartOffset = fromOffset;
  }

  private void buffer(long offset, ConfigRecord record) {
    if (record instanceof Malformed) {
      return;
    }
    buffered.addLast(new BufferedRecord(offset, record));
    if (record instanceof Snapshot snapshot) {
      if (snapshot.asOfOffset() >= bufferStartOffset - 1 && adopt(snapshot)) {
        return;
      }
    }
    if (buffered.size() > MAX_BUFFERED_RECORDS) {
      bufferStartOffset = buffered.removeFirst().offset() + 1;
    }
  }

  private void applyBuffered() {
    List<BufferedRecord> records = new ArrayList<>(buffered);
    buffered.clear();
    complete = true;
    long upToOffset = readOffset;
    for (BufferedRecord next : records) {
      if (complete && next.offset() > appliedOffset) {
        applyNext(next.offset(), next.record());
      } else if (!complete && next.offset() >= bufferStartOffset) {
        buffered.addLast(next);
      }
    }
    if (complete) {
      appliedOffset = Math.max(appliedOffset, upToOffset);
    }
  }
}
