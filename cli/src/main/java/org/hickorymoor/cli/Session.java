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
 * What a command needs.
 *
 * @param client makes calls
 * @param jobs submits jobs and asks about them
 * @param in standard input
 * @param out standard output
 * @param err standard error
 * @param json true to print the server's answers as they are
 */
record Session(
    RetryingClient client,
    JobClient jobs,
    InputStream in,
    PrintStream out,
    PrintStream err,
    boolean json) {

  /** Makes a call and prints its answer, for people by the given function. */
  void report(Call call, Consumer<JsonObject> print) throws ClientException, ServerErrorException {
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
        // What is not JSON is reported like any other answer that can't be read.
      }
    }
    throw ServerErrorException.of(reply);
  }
}
