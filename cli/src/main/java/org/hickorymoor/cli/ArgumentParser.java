package org.hickorymoor.cli;

import org.kohsuke.args4j.CmdLineParser;

/** A command-line parser that treats a single {@code -} as an argument instead of an option. */
final class ArgumentParser extends CmdLineParser {

  private static final String STANDARD_INPUT = "-";

  ArgumentParser(Object bean) {
    super(bean);
  }

  @Override
  protected boolean isOption(String argument) {
    return !argument.equals(STANDARD_INPUT) && super.isOption(argument);
  }
}
