package org.hickorymoor.daemon.stream;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class AppendRateLimiterTest {

  private final AtomicLong nowMs = new AtomicLong();
  private final AppendRateLimiter rateLimiter = new AppendRateLimiter(10, 2, nowMs::get);

  @Test
  void allowsBurstAndThenSteadyRate() {
    assertThat(rateLimiter.tryAcquire()).isEqualTo(0);
    assertThat(rateLimiter.tryAcquire()).isEqualTo(0);
    assertThat(rateLimiter.tryAcquire()).isEqualTo(100);
    nowMs.addAndGet(100);
    assertThat(rateLimiter.tryAcquire()).isEqualTo(0);
  }

  @Test
  void limitsBurstAfterIdleTime() {
    nowMs.addAndGet(1_000_000);
    assertThat(rateLimiter.tryAcquire()).isEqualTo(0);
    assertThat(rateLimiter.tryAcquire()).isEqualTo(0);
    assertThat(rateLimiter.tryAcquire()).isEqualTo(100);
  }
}
