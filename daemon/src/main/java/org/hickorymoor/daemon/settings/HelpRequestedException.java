package org.hickorymoor.daemon.settings;

/** Thrown when the command line asks for the usage text instead of a run. */
public final class HelpRequestedException extends Exception {

  private static final long serialVersionUID = 1L;

  private final String help;

  /**
   * Creates the exception.
   *
   * @param help usage text
   */
  public HelpRequestedException(String help) {
    super("help requested");
    this.help = help;
  }

  /**
   * Returns the usage text.
   *
   * @return text to print to the user
   */
  public String help() {
    return help;
  }
}
