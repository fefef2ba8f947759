package org.hickorymoor.protocol.config;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Packs text with gzip and Base64, and unpacks it up to a limit. */
final class PackedText {

  private PackedText() {}

  static String pack(String text) {
    ByteArrayOutputStream packed = new ByteArrayOutputStream();
    try (GZIPOutputStream gzip = new GZIPOutputStream(packed)) {
      gzip.write(text.getBytes(UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException("a stream in memory failed", e);
    }
    return Base64.getEncoder().encodeToString(packed.toByteArray());
  }

  /**
   * Unpacks text.
   *
   * @throws IllegalArgumentException if it is not packed text, or larger than the limit
   */
  static String unpack(String packed, int limitBytes) {
    byte[] bytes = Base64.getDecoder().decode(packed);
    try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
      byte[] text = gzip.readNBytes(limitBytes + 1);
      if (text.length > limitBytes) {
        throw new IllegalArgumentException("expected at most " + limitBytes + " bytes, got more");
      }
      return new String(text, UTF_8);
    } catch (IOException e) {
      throw new IllegalArgumentException("expected gzip, got " + e.getMessage(), e);
    }
  }
}
