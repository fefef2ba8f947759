package org.hickorymoor.standins.hosts;

import static com.google.common.truth.Truth.assertThat;

import org.eclipse.jetty.http.HttpMethod;
import org.hickorymoor.protocol.platform.HostEntry;
import org.hickorymoor.protocol.platform.HostList;
import org.hickorymoor.protocol.platform.HostRole;
import org.hickorymoor.protocol.platform.HostState;
import org.hickorymoor.standins.JsonHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class HostListStandInTest {

  private static final HostEntry ENTRY =
      new HostEntry(
          "h1", HostRole.ENTRY, "kano", "north", "rack-1", "127.0.0.1:1", HostState.LEAVING);

  private final HostListStandIn list = new HostListStandIn(HostListSettings.withLagMs(0));
  private JsonHttpClient client;

  @BeforeEach
  void start() throws Exception {
    list.start();
    client = new JsonHttpClient(list.address());
    client.start();
  }

  @AfterEach
  void stop() throws Exception {
    client.stop();
    list.stop();
  }

  @Test
  void listsAddedHostsUntilRemoved() throws Exception {
    client.send(HttpMethod.PUT, "/v1/hosts/h1", ENTRY);
    assertThat(client.get("/v1/hosts", HostList.class).hosts()).containsExactly(ENTRY);

    client.send(HttpMethod.DELETE, "/v1/hosts/h1", null);
    assertThat(client.get("/v1/hosts", HostList.class).hosts()).isEmpty();
  }

  @Test
  void roleAndStateAreSerializedInLowerCase() throws Exception {
    list.putVisible(ENTRY);

    String json = client.getRaw("/v1/hosts").getContentAsString();

    assertThat(json).contains("\"role\":\"entry\"");
    assertThat(json).contains("\"state\":\"leaving\"");
  }

  @Test
  void hostIdDifferentFromPathIsRejected() throws Exception {
    assertThat(client.send(HttpMethod.PUT, "/v1/hosts/h2", ENTRY).getStatus()).isEqualTo(400);
  }
}
