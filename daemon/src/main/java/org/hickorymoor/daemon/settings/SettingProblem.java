package org.hickorymoor.daemon.settings;

/**
 * An invalid value of a setting.
 *
 * @param flag name of the flag
 * @param expected description of the valid values
 * @param got the invalid value
 */
public record SettingProblem(String flag, String expected, String got) {

  @Override
  public String toString() {
    return flag + ": expected " + expected + ", got " + got;
  }
}
