package org.hickorymoor.cli.client;

import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.RequestKey;
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
   * @param request the request that it must answer
   * @return the answer in it
   * @throws ServerErrorException if the reply holds an error, or no answer to this request
   */
  static JobReply of(Reply reply, RequestKey request) throws ServerErrorException {
    try {
      JobAnswer answer = CallerJson.parseJobAnswer(reply.body());
      if (answer.request().equals(request)) {
        return new JobReply(answer, reply.body());
      }
    } catch (InvalidRecordException e) {
      // What is no answer is reported as an error below.
    }
    throw ServerErrorException.of(reply);
  }
}
