package org.hickorymoor.daemon.journal;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.domain.job.JobState;
import org.hickorymoor.domain.job.Reason;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.domain.job.TaskId;
import org.hickorymoor.domain.ledger.KeyClaim;
import org.hickorymoor.domain.ledger.LedgerEntry;
import org.hickorymoor.protocol.caller.JobRecordCodec;
import org.hickorymoor.protocol.json.InvalidRecordException;

/** Writes and reads the entries of the job and key streams as JSON. */
final class LedgerJson {

  private static final String TYPE = "t";
  private static final String EPOCH = "epoch";
  private static final String ACCEPTED = "job";
  private static final String PLACED = "place";
  private static final String ENDED = "end";
  private static final String FINISHED = "fin";

  private LedgerJson() {}

  static String writeClaim(KeyClaim claim) {
    JsonObject json = new JsonObject();
    json.addProperty("team", claim.request().team());
    json.addProperty("key", claim.request().key());
    json.addProperty("domain", claim.domain());
    json.addProperty("job", claim.jobId());
    json.addProperty("at", claim.atMs());
    return json.toString();
  }

  static KeyClaim readClaim(JsonElement entry) {
    JsonObject json = entry.getAsJsonObject();
    RequestKey request = new RequestKey(text(json, "team"), text(json, "key"));
    return new KeyClaim(request, text(json, "domain"), text(json, "job"), number(json, "at"));
  }

  static String write(LedgerEntry entry) {
    JsonObject json = new JsonObject();
    if (entry instanceof LedgerEntry.Epoch epoch) {
      json.addProperty(TYPE, EPOCH);
      json.addProperty("host", epoch.hostId());
      json.addProperty("term", epoch.termId());
    } else if (entry instanceof LedgerEntry.Accepted accepted) {
      json.addProperty(TYPE, ACCEPTED);
      json.addProperty("id", accepted.jobId());
      json.addProperty("at", accepted.atMs());
      json.add("rec", JsonParser.parseString(JobRecordCodec.toJson(accepted.spec())));
    } else if (entry instanceof LedgerEntry.Placed placed) {
      json.addProperty(TYPE, PLACED);
      json.addProperty("task", placed.task().toString());
      json.addProperty("wt", placed.workerTaskId());
      json.addProperty("w", placed.workerId());
      json.addProperty("wi", placed.workerIncarnation());
      json.addProperty("term", placed.termId());
    } else if (entry instanceof LedgerEntry.Ended ended) {
      json.addProperty(TYPE, ENDED);
      json.addProperty("task", ended.task().toString());
      json.addProperty("s", ended.state().name());
      json.addProperty("w", ended.workerId());
      json.addProperty("x", ended.exitCode());
      json.addProperty("out", ended.output());
    } else if (entry instanceof LedgerEntry.Finished finished) {
      json.addProperty(TYPE, FINISHED);
      json.addProperty("id", finished.jobId());
      json.addProperty("s", finished.state().name());
      json.addProperty("r", finished.reason().type().name());
      json.addProperty("m", finished.reason().message());
      json.addProperty("at", finished.atMs());
    }
    return json.toString();
  }

  /**
   * Reads an entry of the job stream.
   *
   * @param entry the entry
   * @return the entry
   * @throws RuntimeException if it has another shape
   */
  static LedgerEntry read(JsonElement entry) {
    JsonObject json = entry.getAsJsonObject();
    return switch (text(json, TYPE)) {
      case EPOCH -> new LedgerEntry.Epoch(text(json, "host"), text(json, "term"));
      case ACCEPTED ->
          new LedgerEntry.Accepted(text(json, "id"), spec(json.get("rec")), number(json, "at"));
      case PLACED ->
          new LedgerEntry.Placed(
              TaskId.parse(text(json, "task")),
              text(json, "wt"),
              text(json, "w"),
              text(json, "wi"),
              text(json, "term"));
      case ENDED ->
          new LedgerEntry.Ended(
              TaskId.parse(text(json, "task")),
              JobState.valueOf(text(json, "s")),
              text(json, "w"),
              (int) number(json, "x"),
              text(json, "out"));
      case FINISHED ->
          new LedgerEntry.Finished(
              text(json, "id"),
              JobState.valueOf(text(json, "s")),
              new Reason(ReasonType.valueOf(text(json, "r")), text(json, "m")),
              number(json, "at"));
      default -> throw new JsonParseException("expected a known entry, got " + json);
    };
  }

  private static JobSpec spec(JsonElement record) {
    try {
      return JobRecordCodec.parse(record.toString());
    } catch (InvalidRecordException e) {
      throw new JsonParseException("expected a job record, got " + record, e);
    }
  }

  private static String text(JsonObject json, String name) {
    return json.get(name).getAsString();
  }

  private static long number(JsonObject json, String name) {
    return json.get(name).getAsLong();
  }
}
