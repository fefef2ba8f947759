package org.hickorymoor.daemon.shard;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The coordinator as named by its heartbeats.
 *
 * @param epoch rises with each takeover; also the fencing token of the coordinator's requests
 * @param hostId name of the host
 * @param address ip:port where peers reach it
 * @param nonce distinguishes two claims of the same epoch
 * @param leaving whether it requests a successor; it coordinates until there is one
 * @param sentAtMs time of day when the heartbeat was sent, in ms since 1970; 0 if not stated
 */
record CoordinatorRecord(
    long epoch, String hostId, String address, String nonce, boolean leaving, long sentAtMs) {

  /** Key of the record in its stream. */
  static final String KEY = "coordinator";

  /** Writer of the records; shared by all hosts, so that a newer epoch fences older ones. */
  static final String WRITER = "coordinator";

  /** Far above the epochs of claims; a claim above a record's epoch must not overflow. */
  private static final long MAX_EPOCH = 1L << 62;

  private static final int FIELDS = 5;
  private static final String LEAVING = "leaving";
  private static final String ACTIVE = "active";

  /** Separates the state from the time; readers that don't know the time ignore both. */
  private static final String TIME_SEPARATOR = "@";

  byte[] encode() {
    String state = leaving ? LEAVING : ACTIVE + TIME_SEPARATOR + sentAtMs;
    return String.join("\n", List.of(Long.toString(epoch), hostId, address, nonce, state))
        .getBytes(UTF_8);
  }

  /** Returns the decoded record, or null if it is malformed. */
  static @Nullable CoordinatorRecord decode(byte[] value) {
    String[] fields = new String(value, UTF_8).split("\n", -1);
    if (fields.length != FIELDS) {
      return null;
    }
    int separator = fields[4].indexOf(TIME_SEPARATOR);
    try {
      long epoch = Long.parseLong(fields[0]);
      if (epoch < 1 || epoch > MAX_EPOCH) {
        return null;
      }
      return new CoordinatorRecord(
          epoch,
          fields[1],
          fields[2],
          fields[3],
          LEAVING.equals(fields[4]),
          separator < 0 ? 0 : Long.parseLong(fields[4].substring(separator + 1)));
    } catch (NumberFormatException e) {
      return null;
    }
  }

  CoordinatorRecord asLeaving() {
    return new CoordinatorRecord(epoch, hostId, address, nonce, true, 0);
  }

  CoordinatorRecord sentAt(long nowMs) {
    return new CoordinatorRecord(epoch, hostId, address, nonce, false, nowMs);
  }
}
