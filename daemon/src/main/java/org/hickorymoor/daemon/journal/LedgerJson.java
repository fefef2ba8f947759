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

/** JSON encoding of the entries of the job and key streams. */
final class LedgerJson {

  private static final String TYPE = "t";
  private static final String TERM_STARTED = "epoch";
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
    RequestKey request = new RequestKey(getString(json, "team"), getString(json, "key"));
    return new KeyClaim(
        request, getString(json, "domain"), getString(json, "job"), getLong(json, "at"));
  }

  static String write(LedgerEntry entry) {
    JsonObject json = new JsonObject();
    if (entry instanceof LedgerEntry.TermStarted started) {
      json.addProperty(TYPE, TERM_STARTED);
      json.addProperty("host", started.hostId());
      json.addProperty("term", started.termId());
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
   * Decodes an entry of the job stream.
   *
   * @param entry the JSON entry
   * @return the decoded entry
   * @throws RuntimeException if the JSON is not a valid entry
   */
  static LedgerEntry read(JsonElement entry) {
    JsonObject json = entry.getAsJsonObject();
    return switch (getString(json, TYPE)) {
      case TERM_STARTED ->
          new LedgerEntry.TermStarted(getString(json, "host"), getString(json, "term"));
      case ACCEPTED ->
          new LedgerEntry.Accepted(
              getString(json, "id"), spec(json.get("rec")), getLong(json, "at"));
      case PLACED ->
          new LedgerEntry.Placed(
              TaskId.parse(getString(json, "task")),
              getString(json, "wt"),
              getString(json, "w"),
              getString(json, "wi"),
              getString(json, "term"));
      case ENDED ->
          new LedgerEntry.Ended(
              TaskId.parse(getString(json, "task")),
              JobState.valueOf(getString(json, "s")),
              getString(json, "w"),
              (int) getLong(json, "x"),
              getString(json, "out"));
      case FINISHED ->
          new LedgerEntry.Finished(
              getString(json, "id"),
              JobState.valueOf(getString(json, "s")),
              new Reason(ReasonType.valueOf(getString(json, "r")), getString(json, "m")),
              getLong(json, "at"));
      default ->
          throw new JsonParseException("expected a job stream entry of a known type, got " + json);
    };
  }

  private static JobSpec spec(JsonElement record) {
    try {
      return JobRecordCodec.parse(record.toString());
    } catch (InvalidRecordException e) {
      throw new JsonParseException("expected a job record, got " + record, e);
    }
  }

  private static String getString(JsonObject json, String name) {
    return json.get(name).getAsString();
  }

  private static long getLong(JsonObject json, String name) {
    return json.get(name).getAsLong();
  }
}
