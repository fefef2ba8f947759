package org.hickorymoor.cli.client;

import org.hickorymoor.domain.job.JobAnswer;
import org.hickorymoor.domain.job.RequestKey;
import org.hickorymoor.protocol.caller.CallerJson;
import org.hickorymoor.protocol.json.InvalidRecordException;

/**
 * A job response together with its unparsed body.
 *
 * @param answer the parsed response
 * @param body the response body
 */
public record JobReply(JobAnswer answer, String body) {

  /**
   * Parses a response of any status, since rejections are job responses too.
   *
   * @param reply the response
   * @param request the request to which the response must belong
   * @return the job response
   * @throws ServerErrorException if the response is an error or does not belong to the request
   */
  static JobReply of(Reply reply, RequestKey request) throws ServerErrorException {
    try {
      JobAnswer answer = CallerJson.parseJobAnswer(reply.body());
      if (answer.request().equals(request)) {
        return new JobReply(answer, reply.body());
      }
    } catch (InvalidRecordException e) {
      // A response of another form is reported as an error below.
    }
    throw ServerErrorException.of(reply);
  }
}
