package org.hickorymoor.protocol.config;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Encodes text as gzip in Base64 and decodes it up to a size limit. */
final class GzipBase64 {

  private GzipBase64() {}

  static String encode(String text) {
    ByteArrayOutputStream compressed = new ByteArrayOutputStream();
    try (GZIPOutputStream gzip = new GZIPOutputStream(compressed)) {
      gzip.write(text.getBytes(UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException("failed to compress in memory", e);
    }
    return Base64.getEncoder().encodeToString(compressed.toByteArray());
  }

  /**
   * Decodes text, reading no more than the limit allows.
   *
   * @throws IllegalArgumentException if the input is not gzip in Base64 or the text exceeds the
   *     limit
   */
  static String decode(String encoded, int limitBytes) {
    byte[] compressed = Base64.getDecoder().decode(encoded);
    try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
      byte[] text = gzip.readNBytes(limitBytes + 1);
      if (text.length > limitBytes) {
        throw new IllegalArgumentException("expected at most " + limitBytes + " bytes, got more");
      }
      return new String(text, UTF_8);
    } catch (IOException e) {
      throw new IllegalArgumentException("expected gzip data, got: " + e.getMessage(), e);
    }
  }
}
