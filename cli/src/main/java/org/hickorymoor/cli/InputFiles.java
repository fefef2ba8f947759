package org.hickorymoor.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Reads the input files of commands. */
final class InputFiles {

  private static final String STANDARD_INPUT = "-";

  private InputFiles() {}

  /** Reads a whole file, or standard input for {@code -}. */
  static String read(String name, InputStream standardInput) throws UsageException {
    try {
      byte[] bytes =
          name.equals(STANDARD_INPUT)
              ? standardInput.readAllBytes()
              : Files.readAllBytes(Path.of(name));
      return new String(bytes, UTF_8);
    } catch (NoSuchFileException | InvalidPathException e) {
      throw new UsageException(
          "file " + name + " not found; specify a JSON file, or - for standard input");
    } catch (IOException e) {
      throw new UsageException("failed to read file " + name + ": " + e.getMessage());
    }
  }
}
