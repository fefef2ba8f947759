package org.hickorymoor.daemon.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Promise;
import org.jspecify.annotations.Nullable;

/** Reads the bodies of HTTP requests, whatever their transfer encoding. */
public final class RequestBodies {

  private RequestBodies() {}

  /**
   * Reads a body of limited size. The limit holds for the declared length as well as for the bytes
   * received, so that a chunked body can't exceed it either.
   *
   * @param request the request
   * @param maxBytes maximum size of the body
   * @return the body as UTF-8 text; fails with {@link BodyTooLargeException} as soon as the limit
   *     is exceeded, or with the failure of the connection
   */
  public static CompletableFuture<String> readText(Request request, long maxBytes) {
    if (request.getLength() > maxBytes) {
      return CompletableFuture.failedFuture(new BodyTooLargeException(maxBytes));
    }
    CompletableFuture<byte[]> received = new CompletableFuture<>();
    Content.Source.asByteArrayAsync(
        request,
        (int) Math.min(maxBytes, Integer.MAX_VALUE),
        Promise.Invocable.toPromise(received));
    return received.handle(
        (bytes, failure) -> {
          if (failure == null) {
            return new String(bytes, UTF_8);
          }
          // Jetty reports an exceeded limit as an IllegalStateException.
          throw new CompletionException(
              failure instanceof IllegalStateException
                  ? new BodyTooLargeException(maxBytes)
                  : failure);
        });
  }

  /**
   * Returns the reason if a read failed because the body was too large.
   *
   * @param failure failure of {@link #readText}, possibly wrapped
   * @return null for failures of the connection
   */
  public static @Nullable BodyTooLargeException tooLarge(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof BodyTooLargeException tooLarge ? tooLarge : null;
  }
}
