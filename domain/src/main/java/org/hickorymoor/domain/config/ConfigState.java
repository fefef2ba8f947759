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
 * State machine over the records of the configuration stream. Hosts that have applied the same
 * records have the same state.
 *
 * <pre>{@code
 * ConfigState state = new ConfigState();
 * state.apply(0, new Publication(id, 0, "ada", nowMs, new ConfigBody.Valid(config)));
 * state.config().version(); // 1
 * }</pre>
 *
 * <p>A publication takes effect if and only if it expects the version in effect, its id is not in
 * the history of accepted publications, and its body is valid. Of concurrent publications for the
 * same version, the one with the lowest offset is therefore accepted. The version never decreases.
 *
 * <p>A state that lacks records, because of retention or because it could not read one, is
 * incomplete: it keeps the version in effect and buffers later records until a {@link Snapshot}
 * covers the gap. Not thread-safe.
 */
public final class ConfigState {

  /** Maximum number of accepted publications in the history. */
  public static final int HISTORY_SIZE = 64;

  /** Maximum number of records that an incomplete state buffers. */
  static final int MAX_BUFFERED_RECORDS = 256;

  private static final long NO_OFFSET = -1;

  private final Deque<AcceptedPublication> history = new ArrayDeque<>();
  private final Deque<BufferedRecord> buffered = new ArrayDeque<>();
  private ClusterConfig config = ClusterConfig.DEFAULT;
  private long configOffset = NO_OFFSET;
  private long appliedOffset = NO_OFFSET;
  private long readOffset = NO_OFFSET;
  private boolean complete = true;

  /** Offset after the gap: every record read from here on that can have an effect is buffered. */
  private long bufferStartOffset;

  private record BufferedRecord(long offset, ConfigRecord record) {}

  /**
   * Applies the next record. A record that was already read has no effect.
   *
   * @param offset offset of the record
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
   * Skips records that can no longer be read, which leaves a gap in the state.
   *
   * @param toOffset first offset after the gap
   */
  public void skipTo(long toOffset) {
    if (toOffset <= readOffset + 1) {
      return;
    }
    readOffset = toOffset - 1;
    becomeIncomplete(toOffset);
  }

  /**
   * Adopts the state of another host if it is ahead of this one.
   *
   * @param snapshot the other state
   * @return whether this state changed
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
   * Returns the configuration in effect.
   *
   * @return the configuration, including its version
   */
  public ClusterConfig config() {
    return config;
  }

  /**
   * Returns the offset of the record that put the configuration into effect.
   *
   * @return the offset, or -1 if none was ever published
   */
  public long configOffset() {
    return configOffset;
  }

  /**
   * Returns the offset up to which every record is applied.
   *
   * @return the offset, or -1 if no record is applied
   */
  public long appliedOffset() {
    return appliedOffset;
  }

  /**
   * Returns whether the state covers all records read.
   *
   * @return false from a skipped or unreadable record on until a snapshot covers it
   */
  public boolean isComplete() {
    return complete;
  }

  /**
   * Returns the most recent publications that took effect.
   *
   * @return at most {@link #HISTORY_SIZE}, oldest first
   */
  public List<AcceptedPublication> history() {
    return List.copyOf(history);
  }

  /**
   * Returns a snapshot of this state, which must be complete.
   *
   * @param atMs wall-clock time now
   * @return the snapshot
   */
  public Snapshot snapshot(long atMs) {
    checkState(
        complete,
        "cannot take a snapshot of an incomplete state, applied up to offset %s",
        appliedOffset);
    return new Snapshot(
        appliedOffset,
        config.version(),
        configOffset,
        List.copyOf(history),
        atMs,
        new ConfigBody.Valid(config));
  }

  /**
   * Returns the outcome of a publication. An outcome other than undecided is final.
   *
   * @param id id of the publication
   * @param expectedVersion version that it was to replace
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

  /**
   * Applies a snapshot. A higher version in it means that an operator has restored a stream whose
   * state was lost.
   */
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
