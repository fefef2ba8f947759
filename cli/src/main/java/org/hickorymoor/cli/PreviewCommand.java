package org.hickorymoor.cli;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.ServerErrorException;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Prints where a job of the platform's users would go now, without submitting it. */
final class PreviewCommand implements Command {

  private static final String PATH = "/v1/placement-preview";
  private static final double PERCENT_PER_MILLIONTH = 1e-4;
  private static final double THOUSANDTHS = 1_000;

  @Argument(metaVar = "FILE", required = true, usage = "job in JSON, or - for input")
  private String file = "";

  @Option(name = "--queue", metaVar = "QUEUE", required = true, usage = "queue of the job")
  private String queue = "";

  @Option(name = "--customer", metaVar = "CUSTOMER", usage = "customer that would submit the job")
  private @Nullable String customer;

  @Override
  public ExitCode run(CommandContext context)
      throws UsageException, ClientException, ServerErrorException {
    JsonObject question = new JsonObject();
    question.addProperty("queue", queue);
    if (customer != null) {
      question.addProperty("customer", customer);
    }
    question.add("job", parse(InputFiles.read(file, context.in())));
    context.sendAndPrint(
        Call.question(PATH, question.toString()), answer -> print(context, answer));
    return ExitCode.OK;
  }

  private JsonObject parse(String json) throws UsageException {
    try {
      JsonElement job = JsonParser.parseString(json);
      if (job.isJsonObject()) {
        return job.getAsJsonObject();
      }
    } catch (JsonParseException e) {
      // Reported below like any other content.
    }
    throw new UsageException(file + ": expected a job, which is a JSON object");
  }

  private static void print(CommandContext context, JsonObject answer) {
    JsonObject basis = JsonFields.object(answer, "basis");
    line(
        context,
        "coordinator epoch %s, configuration %s, submissions read %s ms ago",
        JsonFields.text(basis, "epoch"),
        JsonFields.text(basis, "configVersion"),
        JsonFields.text(basis, "submissionsAgeMs"));
    List<String> refusals = JsonFields.texts(answer, "refusals");
    line(context, refusals.isEmpty() ? "would be accepted" : "would be refused:");
    refusals.forEach(refusal -> line(context, "  %s", refusal));
    JsonFields.texts(answer, "notes").forEach(note -> line(context, "note: %s", note));
    if (answer.get("customer") instanceof JsonObject standing) {
      printCustomer(context, standing);
    }
    printTiming(context, JsonFields.object(answer, "timing"));
    line(context, "ready steps that go before: %s", JsonFields.text(answer, "stepsBefore"));
    for (JsonObject step : JsonFields.objects(answer, "steps")) {
      printStep(context, step);
    }
  }

  private static void printCustomer(CommandContext context, JsonObject standing) {
    line(
        context,
        "customer %s: limit %s, uses %s (cpuMillis/memoryMb/accelerators, limit 0 is none),"
            + " averaged share %s, entitled to %s, rank %s",
        JsonFields.text(standing, "name"),
        amounts(JsonFields.object(standing, "limit")),
        amounts(JsonFields.object(standing, "used")),
        percent(JsonFields.number(standing, "averageShareMillionths")),
        percent(JsonFields.number(standing, "entitledShareMillionths")),
        JsonFields.text(standing, "rank"));
  }

  private static String amounts(JsonObject amounts) {
    return String.join(
        "/",
        JsonFields.text(amounts, "cpuMillis"),
        JsonFields.text(amounts, "memoryMb"),
        JsonFields.text(amounts, "accelerators"));
  }

  private static String percent(double millionths) {
    return String.format(Locale.ROOT, "%.1f %%", millionths * PERCENT_PER_MILLIONTH);
  }

  private static void printTiming(CommandContext context, JsonObject timing) {
    line(
        context,
        "started now: %s; critical path %s ms, objective %s ms",
        JsonFields.text(timing, "timeliness").replace('_', ' '),
        JsonFields.text(timing, "criticalPathMs"),
        JsonFields.text(timing, "objectiveMs"));
    Table table = new Table("STEP", "EXPECTED_MS", "ESTIMATED_MS");
    for (JsonObject step : JsonFields.objects(timing, "steps")) {
      table.add(
          JsonFields.text(step, "step"),
          JsonFields.text(step, "expectedMs"),
          JsonFields.text(step, "estimatedMs"));
    }
    context.print(table);
  }

  private static void printStep(CommandContext context, JsonObject step) {
    line(
        context,
        "step %s: %s tasks, %s within the customer's limit; of %s workers a task fits %s now,"
            + " %s if empty",
        JsonFields.text(step, "step"),
        JsonFields.text(step, "tasks"),
        JsonFields.text(step, "permitted"),
        JsonFields.text(step, "workers"),
        JsonFields.text(step, "fitNow"),
        JsonFields.text(step, "fitEmpty"));
    for (JsonObject unfit : JsonFields.objects(step, "unfit")) {
      line(
          context,
          "  %s: %s workers",
          JsonFields.text(unfit, "reason"),
          JsonFields.text(unfit, "workers"));
    }
    List<JsonObject> best = JsonFields.objects(step, "best");
    if (!best.isEmpty()) {
      Table table = new Table("WORKER", "RACK", "COST", "PARTS");
      for (JsonObject worker : best) {
        table.add(
            JsonFields.text(worker, "worker"),
            JsonFields.text(worker, "rack"),
            cost(worker, "costThousandths"),
            String.join(
                " ",
                JsonFields.objects(worker, "parts").stream()
                    .map(part -> JsonFields.text(part, "name") + "=" + cost(part, "thousandths"))
                    .toList()));
      }
      context.print(table);
    }
  }

  private static String cost(JsonObject object, String name) {
    return String.format(Locale.ROOT, "%.3f", JsonFields.number(object, name) / THOUSANDTHS);
  }

  private static void line(CommandContext context, String format, Object... values) {
    PrintStream out = context.out();
    out.println(Table.replaceControlChars(String.format(Locale.ROOT, format, values)));
  }
}
