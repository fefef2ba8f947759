package org.hickorymoor.bench.load;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class LinearFitTest {

  @Test
  void collinearPointsHaveNoSlopeError() {
    LinearFit fit = LinearFit.fit(new double[] {0, 1, 2, 4}, new double[] {3, 5, 7, 11});

    assertThat(fit.slope()).isWithin(1e-9).of(2);
    assertThat(fit.intercept()).isWithin(1e-9).of(3);
    assertThat(fit.slopeError()).isWithin(1e-9).of(0);
  }

  @Test
  void slopeErrorReflectsResiduals() {
    LinearFit fit = LinearFit.fit(new double[] {0, 1, 2, 3}, new double[] {0, 1, 0, 1});

    assertThat(fit.slope()).isWithin(1e-9).of(0.2);
    assertThat(fit.slopeError()).isWithin(1e-9).of(Math.sqrt(0.08));
  }

  @Test
  void pointsWithOneAxisValueAreRejected() {
    assertThrows(
        IllegalArgumentException.class,
        () -> LinearFit.fit(new double[] {1, 1, 1}, new double[] {1, 2, 3}));
  }
}
