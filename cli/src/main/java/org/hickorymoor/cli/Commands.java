package org.hickorymoor.cli;

import java.util.List;
import java.util.Optional;

/** Registry of all commands. */
final class Commands {

  static final List<CommandInfo> ALL =
      List.of(
          new CommandInfo(
              "submit",
              "Submits a job, and waits for its end if asked to.",
              "hickorymoor submit examples/kaduna/order-plan.json --wait 30s",
              SubmitCommand::new),
          new CommandInfo(
              "status",
              "Prints the state of a job and of its tasks.",
              "hickorymoor status kaduna-windsock/order-4711",
              StatusCommand::new),
          new CommandInfo(
              "result",
              "Prints the output of a job that has ended.",
              "hickorymoor result kaduna-windsock/order-4711 --wait 60s",
              ResultCommand::new),
          new CommandInfo(
              "cancel",
              "Cancels a job: tasks that wait never start, tasks that run are stopped.",
              "hickorymoor cancel kaduna-windsock/order-4711",
              CancelCommand::new),
          new CommandInfo(
              "list",
              "Lists jobs, the newest first.",
              "hickorymoor list --team kaduna-windsock --limit 20",
              ListCommand::new),
          new CommandInfo(
              "explain",
              "Prints why a job is where it is, and what it waits for.",
              "hickorymoor explain kaduna-windsock/order-4711",
              ExplainCommand::new),
          new CommandInfo(
              "preview",
              "Prints where a job would go now, and why, without submitting it.",
              "hickorymoor preview job.json --queue batch --customer acme --server 10.0.0.1:7402",
              PreviewCommand::new),
          new CommandInfo(
              "workers",
              "Lists the workers with what they declare, what was learned and what is in use.",
              "hickorymoor workers",
              WorkersCommand::new),
          new CommandInfo(
              "cell",
              "Prints the state of the cell as one entry host sees it.",
              "hickorymoor cell --server 10.0.0.1:7480",
              CellCommand::new),
          new CommandInfo(
              "drain",
              "Keeps new work from a worker before a planned stop.",
              "hickorymoor drain w-17 --actor amina",
              DrainCommand::new),
          new CommandInfo(
              "config get",
              "Prints the configuration in force; its version goes to standard error.",
              "hickorymoor config get > config.json",
              ConfigGetCommand::new),
          new CommandInfo(
              "config publish",
              "Publishes a configuration over the version that it was made from.",
              "hickorymoor config publish config.json --expect-version 7 --actor amina",
              ConfigPublishCommand::new),
          new CommandInfo(
              "config history",
              "Lists the versions of the configuration, the newest first.",
              "hickorymoor config history --limit 5",
              ConfigHistoryCommand::new),
          new CommandInfo(
              "audit",
              "Lists the changes that were asked for, the newest first.",
              "hickorymoor audit --who amina --limit 20",
              AuditCommand::new));

  private Commands() {}

  /** Finds the command whose name is a prefix of the given arguments. */
  static Optional<CommandInfo> find(List<String> arguments) {
    return ALL.stream().filter(info -> startsWith(arguments, info.words())).findFirst();
  }

  /** Finds the commands whose names start with a word, such as {@code config}. */
  static List<CommandInfo> startingWith(String word) {
    return ALL.stream().filter(info -> info.words().get(0).equals(word)).toList();
  }

  private static boolean startsWith(List<String> arguments, List<String> words) {
    return arguments.size() >= words.size() && arguments.subList(0, words.size()).equals(words);
  }
}
