package org.hickorymoor.local;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.hickorymoor.domain.job.JobKind;
import org.hickorymoor.domain.job.JobSpec;
import org.hickorymoor.protocol.caller.JobRecordCodec;
import org.hickorymoor.protocol.json.InvalidRecordException;

/**
 * An example job record.
 *
 * @param file path of the record
 * @param json text of the record
 * @param spec the parsed job
 */
record Example(Path file, String json, JobSpec spec) {

  private static final List<String> DEPLOYMENTS = List.of("kaduna", "consortium");

  /** Reads the example records of both deployments, each sorted by file name. */
  static List<Example> readAll(Path directory) throws IOException, InvalidRecordException {
    List<Example> examples = new ArrayList<>();
    for (String deployment : DEPLOYMENTS) {
      try (Stream<Path> files = Files.list(directory.resolve(deployment))) {
        for (Path file : files.sorted().toList()) {
          String json = Files.readString(file);
          examples.add(new Example(file, json, JobRecordCodec.parse(json)));
        }
      }
    }
    return examples;
  }

  boolean isService() {
    return spec.kind() == JobKind.SERVICE;
  }

  String path() {
    return "/v1/jobs/" + spec.request().team() + "/" + spec.request().key();
  }
}
