package org.hickorymoor.cli;

import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.ServerErrorException;

/** One of the tool's commands, its arguments set by the parser. */
@FunctionalInterface
interface Command {

  /**
   * Carries the command out.
   *
   * @param session what it needs
   * @return what to tell the shell
   * @throws UsageException if an argument or a file is wrong
   * @throws ClientException if no server answered
   * @throws ServerErrorException if a server answered by an error
   */
  ExitCode run(Session session) throws UsageException, ClientException, ServerErrorException;
}
