package org.hickorymoor.cli;

/**
 * Starts the command-line tool.
 *
 * <pre>{@code
 * hickorymoor --server 10.0.0.1:7480 submit order.json --wait 30s
 * }</pre>
 */
public final class HickorymoorMain {

  private static final String LOG_SETTINGS_PROPERTY = "logback.configurationFile";
  private static final String LOG_SETTINGS = "hickorymoor-cli-logback.xml";

  private HickorymoorMain() {}

  /**
   * Runs one command and ends the process.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    if (System.getProperty(LOG_SETTINGS_PROPERTY) == null) {
      System.setProperty(LOG_SETTINGS_PROPERTY, LOG_SETTINGS);
    }
    Cli cli = new Cli(System.getenv(), System.in, System.out, System.err);
    System.exit(cli.run(args).code());
  }
}
