package org.hickorymoor.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Reads the files that commands name. */
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
      throw new UsageException("there is no file " + name + "; name a JSON file, or - for input");
    } catch (IOException e) {
      throw new UsageException("the file " + name + " can't be read: " + e.getMessage());
    }
  }
}
