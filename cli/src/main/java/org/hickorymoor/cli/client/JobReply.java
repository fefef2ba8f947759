package org.hickorymoor.cli.client;

import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.protocol.caller.CallerJson;
import org.hickorymoor.protocol.json.InvalidRecordException;

/**
 * A job's answer with the text that it came in.
 *
 * @param answer the answer
 * @param body the text
 */
public record JobReply(JobAnswer answer, String body) {

  /**
   * Reads a reply, whatever its status, as a refusal comes as an answer too.
   *
   * @param reply the reply
   * @return the answer in it
   * @throws ServerErrorException if the reply holds an error, or nothing that can be read
   */
  static JobReply of(Reply reply) throws ServerErrorException {
    try {
      return new JobReply(CallerJson.parseAnswer(reply.body()), reply.body());
    } catch (InvalidRecordException e) {
      throw ServerErrorException.of(reply);
    }
  }
}
