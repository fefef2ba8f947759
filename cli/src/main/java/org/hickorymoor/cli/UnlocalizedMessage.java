package org.hickorymoor.cli;

import java.util.Locale;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Localizable;

/** An error message for args4j that is the same in all locales. */
record UnlocalizedMessage(String text) implements Localizable {

  static CmdLineException exception(CmdLineParser parser, String text) {
    return new CmdLineException(parser, new UnlocalizedMessage(text));
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
