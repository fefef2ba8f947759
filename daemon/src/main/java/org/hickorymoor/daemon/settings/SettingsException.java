package org.hickorymoor.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown for invalid settings; reports all of them. */
public final class SettingsException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<SettingProblem> problems;

  /**
   * Creates the exception.
   *
   * @param problems the invalid settings, at least one
   */
  public SettingsException(List<SettingProblem> problems) {
    super(
        problems.stream().map(SettingProblem::toString).collect(Collectors.joining("; "))
            + "; see hickorymoord --help");
    this.problems = List.copyOf(problems);
  }

  /**
   * Returns the invalid settings.
   *
   * @return at least one problem
   */
  public List<SettingProblem> problems() {
    return problems;
  }
}
