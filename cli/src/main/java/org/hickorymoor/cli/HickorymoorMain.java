package org.hickorymoor.cli;

/**
 * Entry point of the command-line client.
 *
 * <pre>{@code
 * hickorymoor --server 10.0.0.1:7480 submit order.json --wait 30s
 * }</pre>
 */
public final class HickorymoorMain {

  private static final String LOGBACK_CONFIG_PROPERTY = "logback.configurationFile";
  private static final String LOGBACK_CONFIG = "hickorymoor-cli-logback.xml";

  private HickorymoorMain() {}

  /**
   * Runs a command and exits with its exit code.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    if (System.getProperty(LOGBACK_CONFIG_PROPERTY) == null) {
      System.setProperty(LOGBACK_CONFIG_PROPERTY, LOGBACK_CONFIG);
    }
    Cli cli = new Cli(System.getenv(), System.in, System.out, System.err);
    System.exit(cli.run(args).code());
  }
}
