package org.hickorymoor.cli;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.function.Supplier;

/**
 * A command as the help shows it.
 *
 * @param name one or two words
 * @param summary what it does, in one sentence
 * @param example a command line that can be copied
 * @param create makes the command, for the parser to fill
 */
record CommandInfo(String name, String summary, String example, Supplier<Command> create) {

  private static final Splitter SPACES = Splitter.on(' ');

  /** Returns the words that call the command. */
  List<String> words() {
    return SPACES.splitToList(name);
  }
}
