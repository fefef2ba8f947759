package org.hickorymoor.daemon.http;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayInputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import org.hickorymoor.protocol.config.ConfigCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class HttpApiServerTest {

  private final HttpApiServer server =
      new HttpApiServer("127.0.0.1", 0, List.of(HttpApiServerTest::replyWithLength));

  @BeforeEach
  void start() throws Exception {
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop();
  }

  @Test
  void bodyOfMaximumSizeIsRead() throws Exception {
    assertThat(post(ConfigCodec.MAX_BYTES, true).body()).isEqualTo("" + ConfigCodec.MAX_BYTES);
    assertThat(post(ConfigCodec.MAX_BYTES, false).body()).isEqualTo("" + ConfigCodec.MAX_BYTES);
  }

  @Test
  void bodyWithLargerDeclaredLengthIsRejected() throws Exception {
    assertRejected(post(ConfigCodec.MAX_BYTES + 1, false));
  }

  @Test
  void largerChunkedBodyIsRejected() throws Exception {
    assertRejected(post(ConfigCodec.MAX_BYTES + 1, true));
  }

  private static void assertRejected(HttpResponse<String> response) {
    assertThat(response.statusCode()).isEqualTo(413);
    assertThat(response.body()).contains("too-large");
    assertThat(response.body()).contains("at most " + ConfigCodec.MAX_BYTES + " bytes");
  }

  private static boolean replyWithLength(HttpCall call) {
    call.replyText(HttpCall.OK, "" + call.body().length());
    return true;
  }

  private HttpResponse<String> post(int sizeBytes, boolean chunked) throws Exception {
    byte[] body = new byte[sizeBytes];
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + server.address() + "/"))
            .POST(
                chunked
                    ? BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(body))
                    : BodyPublishers.ofByteArray(body))
            .build();
    return HttpClient.newHttpClient().send(request, BodyHandlers.ofString());
  }
}
