package org.hickorymoor.domain.customer;

import static com.google.common.truth.Truth.assertThat;

import org.hickorymoor.domain.Resources;
import org.junit.jupiter.api.Test;

final class ApiKeyIndexTest {

  private static final CustomerPolicy A = new CustomerPolicy("a", 1, Resources.NONE);
  private static final CustomerPolicy B = new CustomerPolicy("b", 1, Resources.NONE);

  @Test
  void keyIsFoundForItsCustomerOnly() {
    ApiKeyIndex.Builder builder = ApiKeyIndex.builder();
    for (int i = 0; i < 1_000; i++) {
      builder.add("a" + i, A);
    }
    for (int i = 0; i < 1_000; i++) {
      builder.add("b" + i, B);
    }
    ApiKeyIndex index = builder.build();

    assertThat(index.size()).isEqualTo(2_000);
    for (int i = 0; i < 1_000; i++) {
      assertThat(index.find("a" + i)).isEqualTo(A);
      assertThat(index.find("b" + i)).isEqualTo(B);
      assertThat(index.find("c" + i)).isNull();
    }
    assertThat(index.find("")).isNull();
  }

  // Guards against a key that changes its customer with the order in which entries are looked at.
  @Test
  void keyThatTwoCustomersNameBelongsToTheFirst() {
    ApiKeyIndex.Builder builder = ApiKeyIndex.builder();

    assertThat(builder.add("k", A)).isEqualTo(A);
    assertThat(builder.add("k", A)).isEqualTo(A);
    assertThat(builder.add("k", B)).isEqualTo(A);

    assertThat(builder.build().find("k")).isEqualTo(A);
    assertThat(builder.build().size()).isEqualTo(1);
  }
}
