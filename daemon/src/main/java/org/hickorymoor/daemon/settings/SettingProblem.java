package org.hickorymoor.daemon.settings;

/**
 * One mistake in the settings.
 *
 * @param flag the flag
 * @param expected what was expected
 * @param got what came
 */
public record SettingProblem(String flag, String expected, String got) {

  @Override
  public String toString() {
    return flag + ": expected " + expected + ", got " + got;
  }
}
