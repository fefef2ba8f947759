package org.hickorymoor.standins.hosts;

import static com.google.common.truth.Truth.assertThat;

import org.eclipse.jetty.http.HttpMethod;
import org.hickorymoor.protocol.platform.HostEntry;
import org.hickorymoor.protocol.platform.HostList;
import org.hickorymoor.protocol.platform.HostRole;
import org.hickorymoor.protocol.platform.HostState;
import org.hickorymoor.standins.HttpCaller;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class HostListStandInTest {

  private static final HostEntry ENTRY =
      new HostEntry(
          "h1", HostRole.ENTRY, "kano", "north", "rack-1", "127.0.0.1:1", HostState.LEAVING);

  private final HostListStandIn list = new HostListStandIn(HostListSettings.withLagMs(0));
  private HttpCaller caller;

  @BeforeEach
  void start() throws Exception {
    list.start();
    caller = new HttpCaller(list.address());
    caller.start();
  }

  @AfterEach
  void stop() throws Exception {
    caller.stop();
    list.stop();
  }

  @Test
  void listsWhatWasPutAndNotRemoved() throws Exception {
    caller.send(HttpMethod.PUT, "/v1/hosts/h1", ENTRY);
    assertThat(caller.get("/v1/hosts", HostList.class).hosts()).containsExactly(ENTRY);

    caller.send(HttpMethod.DELETE, "/v1/hosts/h1", null);
    assertThat(caller.get("/v1/hosts", HostList.class).hosts()).isEmpty();
  }

  @Test
  void speaksRoleAndStateAsThePageSays() throws Exception {
    list.putVisible(ENTRY);

    String json = caller.getRaw("/v1/hosts").getContentAsString();

    assertThat(json).contains("\"role\":\"entry\"");
    assertThat(json).contains("\"state\":\"leaving\"");
  }

  @Test
  void hostIdOfAnotherPathIsMalformed() throws Exception {
    assertThat(caller.send(HttpMethod.PUT, "/v1/hosts/h2", ENTRY).getStatus()).isEqualTo(400);
  }
}
