package org.hickorymoor.cli;

import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.OneArgumentOptionHandler;
import org.kohsuke.args4j.spi.Setter;

/** Parses a duration such as {@code 500ms}, {@code 30s}, {@code 5m} or {@code 2h}. */
public final class DurationOptionHandler extends OneArgumentOptionHandler<Duration> {

  private static final Pattern DURATION = Pattern.compile("(\\d{1,6})(ms|s|m|h)");

  /**
   * Creates a handler with the constructor signature required by args4j.
   *
   * @param parser the parser
   * @param option the option or argument
   * @param setter receives the parsed value
   */
  public DurationOptionHandler(
      CmdLineParser parser, OptionDef option, Setter<? super Duration> setter) {
    super(parser, option, setter);
  }

  @Override
  protected Duration parse(String argument) throws CmdLineException {
    Matcher matcher = DURATION.matcher(argument);
    if (!matcher.matches()) {
      throw UnlocalizedMessage.exception(
          owner, "expected a duration such as 500ms, 30s, 5m or 2h, got \"" + argument + "\"");
    }
    long amount = Long.parseLong(matcher.group(1));
    return switch (matcher.group(2)) {
      case "ms" -> Duration.ofMillis(amount);
      case "s" -> Duration.ofSeconds(amount);
      case "m" -> Duration.ofMinutes(amount);
      default -> Duration.ofHours(amount);
    };
  }

  @Override
  public String getDefaultMetaVariable() {
    return "DURATION";
  }

  @Override
  protected String print(Duration value) {
    boolean wholeSeconds = value.toMillis() % 1000 == 0;
    return wholeSeconds ? value.toSeconds() + "s" : value.toMillis() + "ms";
  }
}
