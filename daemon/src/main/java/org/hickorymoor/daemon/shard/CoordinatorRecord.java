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
 */
record CoordinatorRecord(long epoch, String hostId, String address, String nonce, boolean leaving) {

  private static final int FIELDS = 5;
  private static final String LEAVING = "leaving";
  private static final String ACTIVE = "active";

  byte[] encode() {
    String state = leaving ? LEAVING : ACTIVE;
    return String.join("\n", List.of(Long.toString(epoch), hostId, address, nonce, state))
        .getBytes(UTF_8);
  }

  /** Returns the decoded record, or null if it is malformed. */
  static @Nullable CoordinatorRecord decode(byte[] value) {
    String[] fields = new String(value, UTF_8).split("\n", -1);
    if (fields.length != FIELDS) {
      return null;
    }
    try {
      return new CoordinatorRecord(
          Long.parseLong(fields[0]), fields[1], fields[2], fields[3], LEAVING.equals(fields[4]));
    } catch (NumberFormatException e) {
      return null;
    }
  }

  CoordinatorRecord asLeaving() {
    return new CoordinatorRecord(epoch, hostId, address, nonce, true);
  }
}
