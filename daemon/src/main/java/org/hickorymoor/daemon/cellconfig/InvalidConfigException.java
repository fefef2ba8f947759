package org.hickorymoor.daemon.cellconfig;

/** Thrown when a record holds no usable configuration. The message holds no secrets. */
public final class InvalidConfigException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what was expected and what came, without API keys
   */
  public InvalidConfigException(String message) {
    super(message);
  }
}
