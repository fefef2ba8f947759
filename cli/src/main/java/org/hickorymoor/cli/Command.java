package org.hickorymoor.cli;

import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.ServerErrorException;

/** A command, whose options and arguments are set by the parser. */
@FunctionalInterface
interface Command {

  /**
   * Runs the command.
   *
   * @param context clients and streams for the command
   * @return the exit code
   * @throws UsageException if an argument or an input file is invalid
   * @throws ClientException if no server responded
   * @throws ServerErrorException if a server responded with an error
   */
  ExitCode run(CommandContext context) throws UsageException, ClientException, ServerErrorException;
}
