package org.hickorymoor.cli;

import org.kohsuke.args4j.CmdLineParser;

/** Parses a command line, and takes a lone {@code -} for an argument. */
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
