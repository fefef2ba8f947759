package org.hickorymoor.cli;

import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.NamedOptionDef;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.OptionHandler;

/** Prints help. */
final class Help {

  private final PrintStream out;

  Help(PrintStream out) {
    this.out = out;
  }

  /** Prints the general help: all commands, the global options and the exit codes. */
  void printGeneral() {
    out.println("hickorymoor submits jobs to a cell and shows what the cell does.");
    out.println();
    out.println("Usage: hickorymoor [OPTIONS] COMMAND [ARGUMENTS]");
    out.println();
    printCommands(Commands.ALL);
    out.println();
    out.println("Options, before the command or after it:");
    printOptions(new ArgumentParser(new GlobalOptions()));
    out.println();
    out.println("Exit codes:");
    for (ExitCode code : ExitCode.values()) {
      out.println("  " + code.code() + "  " + code.meaning());
    }
    out.println();
    out.println("Example: hickorymoor --server 10.0.0.1:7480,10.0.0.2:7480 cell");
    out.println("\"hickorymoor help COMMAND\" tells more of one command.");
  }

  /** Prints a list of commands with their summaries. */
  void printCommands(List<CommandInfo> commands) {
    Table table = new Table("Command", "");
    commands.forEach(info -> table.add(info.name(), info.summary()));
    table.lines().forEach(out::println);
  }

  /** Prints the help of a command. */
  void printCommand(CommandInfo info) {
    CmdLineParser parser = new ArgumentParser(info.create().get());
    out.println(info.summary());
    out.println();
    out.println("Usage: hickorymoor " + info.name() + argumentNames(parser));
    printOptions(parser);
    out.println();
    out.println("Example: " + info.example());
    out.println("\"hickorymoor help\" lists the options that all commands take.");
  }

  /** Formats the arguments for the usage line, followed by a placeholder if there are options. */
  private static String argumentNames(CmdLineParser parser) {
    StringBuilder names = new StringBuilder();
    parser.getArguments().forEach(argument -> names.append(' ').append(metaVar(argument)));
    return names.append(parser.getOptions().isEmpty() ? "" : " [OPTIONS]").toString();
  }

  private void printOptions(CmdLineParser parser) {
    Table table = new Table("", "");
    for (OptionHandler<?> argument : parser.getArguments()) {
      table.add("  " + metaVar(argument), argument.option.usage());
    }
    for (OptionHandler<?> handler : parser.getOptions()) {
      table.add("  " + name(handler), usage(handler));
    }
    table.lines().stream().skip(1).forEach(out::println);
  }

  /** Returns the name of an option followed by its meta variable. */
  static String name(OptionHandler<?> handler) {
    OptionDef option = handler.option;
    String name = option instanceof NamedOptionDef named ? named.name() : option.toString();
    String value = metaVar(handler);
    return value.isEmpty() ? name : name + " " + value;
  }

  private static String usage(OptionHandler<?> handler) {
    return handler.option.required()
        ? handler.option.usage() + " (required)"
        : handler.option.usage();
  }

  private static String metaVar(OptionHandler<?> handler) {
    String declared = handler.option.metaVar();
    String fallback = handler.getDefaultMetaVariable();
    return declared.isEmpty() && fallback != null ? fallback : declared;
  }
}
