package org.hickorymoor.daemon.config;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Operators race on several hosts amid faults; hosts must agree and each answer must be true. */
final class ConfigServicePropertyTest {

  private static final int STEPS = 80;

  @Property(seed = "71", tries = 100)
  void hostsAgreeAndAnswersAreTrue(@ForAll long seed) {
    ConfigWorld world = new ConfigWorld(seed);
    for (int step = 0; step < STEPS; step++) {
      world.act();
      world.checkNoneWentBack();
    }
    world.settle();
    world.checkNoneWentBack();
    world.checkAgreement();
  }
}
