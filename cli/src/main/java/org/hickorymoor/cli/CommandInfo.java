package org.hickorymoor.cli;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.function.Supplier;

/**
 * Description of a command for the help.
 *
 * @param name name of the command, one or two words
 * @param summary description in one sentence
 * @param example an example command line
 * @param create creates the command, whose fields are then set by the parser
 */
record CommandInfo(String name, String summary, String example, Supplier<Command> create) {

  private static final Splitter SPACES = Splitter.on(' ');

  /** Returns the words of the command name. */
  List<String> words() {
    return SPACES.splitToList(name);
  }
}
