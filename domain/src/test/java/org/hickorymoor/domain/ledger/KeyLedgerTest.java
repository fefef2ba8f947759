package org.hickorymoor.domain.ledger;

import static com.google.common.truth.Truth.assertThat;

import org.hickorymoor.domain.job.RequestKey;
import org.junit.jupiter.api.Test;

final class KeyLedgerTest {

  private static final RequestKey KEY = new RequestKey("team", "order-1");
  private static final long WINDOW_MS = 1_000;

  private final KeyLedger ledger = new KeyLedger(() -> WINDOW_MS);

  @Test
  void firstClaimInOffsetOrderHolds() {
    ledger.apply(new KeyClaim(KEY, "kano", "a-1", 5));
    ledger.apply(new KeyClaim(KEY, "abuja", "b-1", 4));

    assertThat(ledger.holder(KEY).orElseThrow().jobId()).isEqualTo("a-1");
  }

  @Test
  void claimAfterTheWindowReplacesTheHolder() {
    ledger.apply(new KeyClaim(KEY, "kano", "a-1", 0));
    ledger.apply(new KeyClaim(KEY, "abuja", "b-1", WINDOW_MS));

    assertThat(ledger.holder(KEY).orElseThrow().jobId()).isEqualTo("b-1");
  }
}
