package org.hickorymoor.cli;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hickorymoor.domain.job.RequestKey;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.OneArgumentOptionHandler;
import org.kohsuke.args4j.spi.Setter;

/** Parses a request key, {@code TEAM/KEY}. */
public final class RequestKeyOptionHandler extends OneArgumentOptionHandler<RequestKey> {

  private static final Pattern REQUEST =
      Pattern.compile("([A-Za-z0-9._:-]{1,128})/([A-Za-z0-9._:-]{1,128})");

  /**
   * Creates a handler with the constructor signature required by args4j.
   *
   * @param parser the parser
   * @param option the option or argument
   * @param setter receives the parsed value
   */
  public RequestKeyOptionHandler(
      CmdLineParser parser, OptionDef option, Setter<? super RequestKey> setter) {
    super(parser, option, setter);
  }

  @Override
  protected RequestKey parse(String argument) throws CmdLineException {
    Matcher matcher = REQUEST.matcher(argument);
    if (!matcher.matches()) {
      throw UnlocalizedMessage.exception(
          owner, "expected TEAM/KEY such as kaduna-windsock/order-4711, got \"" + argument + "\"");
    }
    return new RequestKey(matcher.group(1), matcher.group(2));
  }

  @Override
  public String getDefaultMetaVariable() {
    return "TEAM/KEY";
  }
}
