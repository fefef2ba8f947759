package org.hickorymoor.cli;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.InputStream;
import java.io.PrintStream;
import java.util.function.Consumer;
import org.hickorymoor.cli.client.Call;
import org.hickorymoor.cli.client.ClientException;
import org.hickorymoor.cli.client.JobClient;
import org.hickorymoor.cli.client.Reply;
import org.hickorymoor.cli.client.RetryingClient;
import org.hickorymoor.cli.client.ServerErrorException;

/**
 * Clients and streams available to a command.
 *
 * @param client client for arbitrary calls
 * @param jobs client for jobs
 * @param in standard input
 * @param out standard output
 * @param err standard error
 * @param json whether to print the server's responses unchanged
 */
record CommandContext(
    RetryingClient client,
    JobClient jobs,
    InputStream in,
    PrintStream out,
    PrintStream err,
    boolean json) {

  /**
   * Sends a call and prints the response: as JSON if requested, otherwise with the given function.
   */
  void sendAndPrint(Call call, Consumer<JsonObject> print)
      throws ClientException, ServerErrorException {
    Reply reply = client.send(call);
    JsonObject answer = object(reply);
    if (json) {
      out.println(reply.body());
    } else {
      print.accept(answer);
    }
  }

  void print(Table table) {
    table.lines().forEach(out::println);
  }

  private static JsonObject object(Reply reply) throws ServerErrorException {
    if (reply.isSuccess()) {
      try {
        JsonElement answer = JsonParser.parseString(reply.body());
        if (answer.isJsonObject()) {
          return answer.getAsJsonObject();
        }
      } catch (JsonParseException e) {
        // Invalid JSON is reported below like any other unreadable response.
      }
    }
    throw ServerErrorException.of(reply);
  }
}
