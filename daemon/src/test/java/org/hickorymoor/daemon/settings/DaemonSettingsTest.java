package org.hickorymoor.daemon.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class DaemonSettingsTest {

  private static final String[] REQUIRED_FLAGS = {
    "--host-id", "e1",
    "--domain", "kano",
    "--region", "north",
    "--log", "127.0.0.1:1",
    "--hosts", "127.0.0.1:2"
  };

  @Test
  void flagTakesPrecedenceOverEnvironmentVariable()
      throws SettingsException, HelpRequestedException {
    Map<String, String> environment = Map.of("HICKORYMOOR_DOMAIN", "abuja");

    assertThat(DaemonSettings.parse(REQUIRED_FLAGS, environment).domain()).isEqualTo("kano");
  }

  @Test
  void environmentVariableIsUsedWithoutFlag() throws SettingsException, HelpRequestedException {
    Map<String, String> environment = Map.of("HICKORYMOOR_HOLD_LEASE_MS", "5000");

    assertThat(DaemonSettings.parse(REQUIRED_FLAGS, environment).timings().holdLeaseMs())
        .isEqualTo(5_000);
  }

  @Test
  void allInvalidSettingsAreReportedTogether() {
    String[] wrong = {"--host-id", "a b", "--log", "localhost:1", "--task-lease-ms", "10"};

    SettingsException refused =
        assertThrows(SettingsException.class, () -> DaemonSettings.parse(wrong, Map.of()));

    assertThat(refused.problems().stream().map(SettingProblem::flag))
        .containsExactly(
            "--host-id", "--domain", "--region", "--log", "--hosts", "--task-lease-ms");
  }

  @Test
  void settingsPageContainsHelpText() throws IOException {
    HelpRequestedException help =
        assertThrows(
            HelpRequestedException.class,
            () -> DaemonSettings.parse(new String[] {"--help"}, Map.of()));

    String page = Files.readString(Path.of("..", "docs", "operators", "settings.md"));

    assertThat(page).contains(help.help().replaceAll(" +\n", "\n").strip());
  }
}
