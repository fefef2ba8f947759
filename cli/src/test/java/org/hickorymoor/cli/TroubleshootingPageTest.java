package org.hickorymoor.cli;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import org.hickorymoor.domain.job.ReasonType;
import org.hickorymoor.protocol.json.EnumNames;
import org.junit.jupiter.api.Test;

final class TroubleshootingPageTest {

  private static final Pattern ROW = Pattern.compile("(?m)^\\| `([a-z-]+)` \\|");

  @Test
  void listsAllReasons() throws Exception {
    String page = Files.readString(Path.of("../docs/operators/troubleshooting.md"));
    List<String> rows = ROW.matcher(page).results().map(row -> row.group(1)).toList();

    assertThat(rows)
        .containsExactlyElementsIn(
            Arrays.stream(ReasonType.values()).map(EnumNames::toKebabCase).toList());
  }
}
