package org.hickorymoor.cli;

import java.util.Locale;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Localizable;

/** A message that is the same in every locale. */
record PlainMessage(String text) implements Localizable {

  static CmdLineException exception(CmdLineParser parser, String text) {
    return new CmdLineException(parser, new PlainMessage(text));
  }

  @Override
  public String formatWithLocale(Locale locale, Object... args) {
    return text;
  }

  @Override
  public String format(Object... args) {
    return text;
  }
}
