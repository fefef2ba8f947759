package org.hickorymoor.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Tells every mistake in the settings at once. */
public final class SettingsException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<SettingProblem> problems;

  /**
   * Makes the exception.
   *
   * @param problems the mistakes, at least one
   */
  public SettingsException(List<SettingProblem> problems) {
    super(
        problems.stream().map(SettingProblem::toString).collect(Collectors.joining("; "))
            + "; see hickorymoord --help");
    this.problems = List.copyOf(problems);
  }

  /**
   * Returns the mistakes.
   *
   * @return the mistakes, at least one
   */
  public List<SettingProblem> problems() {
    return problems;
  }
}
