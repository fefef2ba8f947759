package org.hickorymoor.cli;

/** Exit codes and their meanings. */
enum ExitCode {
  OK(0, "done as asked"),
  JOB_FAILED(1, "the job ran and failed"),
  USAGE(2, "the command line or a file is wrong; nothing was sent"),
  NOT_RUN(3, "the job was not run, and never will be"),
  IN_DOUBT(4, "it is not known whether the job ran or the change took effect"),
  UNREACHABLE(5, "no server can be reached; nothing was changed"),
  REFUSED(6, "the server refused: a record with mistakes, a key reused or a version conflict"),
  UNKNOWN(7, "there is no such job or worker"),
  NOT_FINISHED(8, "the job has not ended within the time to wait"),
  SERVER_ERROR(9, "the server failed, or its answer can't be read");

  private final int code;
  private final String meaning;

  ExitCode(int code, String meaning) {
    this.code = code;
    this.meaning = meaning;
  }

  int code() {
    return code;
  }

  String meaning() {
    return meaning;
  }
}
