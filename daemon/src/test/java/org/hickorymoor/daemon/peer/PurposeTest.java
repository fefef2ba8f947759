package org.hickorymoor.daemon.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

final class PurposeTest {

  @Test
  void everyRequestHasPurposeOfItsOwn() throws ReflectiveOperationException {
    var requestClass = Purpose.class.getDeclaredField("requestClass");
    requestClass.setAccessible(true);
    Set<Object> covered =
        Arrays.stream(Purpose.values())
            .map(
                purpose -> {
                  try {
                    return requestClass.get(purpose);
                  } catch (IllegalAccessException e) {
                    throw new AssertionError(e);
                  }
                })
            .collect(Collectors.toSet());

    for (Class<?> request : PeerRequest.class.getPermittedSubclasses()) {
      assertThat(covered).contains(request);
    }
  }
}
