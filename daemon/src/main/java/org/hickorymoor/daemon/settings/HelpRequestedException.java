package org.hickorymoor.daemon.settings;

/** Tells that the user asked for help instead of a run. */
public final class HelpRequestedException extends Exception {

  private static final long serialVersionUID = 1L;

  private final String help;

  /**
   * Makes the exception.
   *
   * @param help the text to show
   */
  public HelpRequestedException(String help) {
    super("help is wanted");
    this.help = help;
  }

  /**
   * Returns the text to show.
   *
   * @return the help
   */
  public String help() {
    return help;
  }
}
