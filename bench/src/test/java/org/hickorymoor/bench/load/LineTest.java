package org.hickorymoor.bench.load;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class LineTest {

  @Test
  void exactLineHasNoError() {
    Line line = Line.fit(new double[] {0, 1, 2, 4}, new double[] {3, 5, 7, 11});

    assertThat(line.slope()).isWithin(1e-9).of(2);
    assertThat(line.intercept()).isWithin(1e-9).of(3);
    assertThat(line.slopeError()).isWithin(1e-9).of(0);
  }

  @Test
  void errorOfTheSlopeFollowsTheScatter() {
    Line line = Line.fit(new double[] {0, 1, 2, 3}, new double[] {0, 1, 0, 1});

    assertThat(line.slope()).isWithin(1e-9).of(0.2);
    assertThat(line.slopeError()).isWithin(1e-9).of(Math.sqrt(0.08));
  }

  @Test
  void pointsAtOneValueAreRefused() {
    assertThrows(
        IllegalArgumentException.class,
        () -> Line.fit(new double[] {1, 1, 1}, new double[] {1, 2, 3}));
  }
}
