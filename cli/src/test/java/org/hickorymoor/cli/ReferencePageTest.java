package org.hickorymoor.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.kohsuke.args4j.CmdLineParser;

/** Verifies that {@code docs/operators/cli.md} matches the commands and options of the parser. */
final class ReferencePageTest {

  private static final Path PAGE = Path.of("../docs/operators/cli.md");
  private static final Pattern OPTION_ROW = Pattern.compile("(?m)^\\| `(--[^`]*)` \\|");
  private static final Pattern HEADING = Pattern.compile("(?m)^### `([^`]+)`$");

  private static String page() throws Exception {
    return Files.readString(PAGE);
  }

  private static String section(String heading) throws Exception {
    String rest = page().split(Pattern.quote(heading + "\n"), 2)[1];
    return rest.split("(?m)^##", 2)[0];
  }

  private static List<String> matches(Pattern pattern, String text) {
    return pattern.matcher(text).results().map(result -> result.group(1)).toList();
  }

  private static List<String> options(Object bean) {
    return new CmdLineParser(bean).getOptions().stream().map(Help::name).toList();
  }

  @Test
  void listsAllCommands() throws Exception {
    assertThat(matches(HEADING, page()))
        .containsExactlyElementsIn(Commands.ALL.stream().map(CommandInfo::name).toList());
  }

  @Test
  void listsOptionsOfEachCommand() throws Exception {
    for (CommandInfo info : Commands.ALL) {
      String section = section("### `" + info.name() + "`");
      assertWithMessage(info.name())
          .that(matches(OPTION_ROW, section))
          .containsExactlyElementsIn(options(info.create().get()));
      assertThat(section).contains("```\n" + info.example() + "\n```");
    }
  }

  @Test
  void listsGlobalOptions() throws Exception {
    assertThat(matches(OPTION_ROW, section("## Options of all commands")))
        .containsExactlyElementsIn(options(new GlobalOptions()));
  }

  @Test
  void listsAllExitCodes() throws Exception {
    List<String> rows =
        Arrays.stream(ExitCode.values())
            .map(code -> "| " + code.code() + " | " + code.meaning() + " |")
            .toList();

    List<String> found =
        Pattern.compile("(?m)^\\| \\d.*\\|$")
            .matcher(section("## Exit codes"))
            .results()
            .map(MatchResult::group)
            .toList();
    assertThat(found).containsExactlyElementsIn(rows).inOrder();
  }
}
