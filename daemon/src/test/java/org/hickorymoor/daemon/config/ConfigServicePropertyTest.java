package org.hickorymoor.daemon.config;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Concurrent publishes on several hosts with log faults and restarts: the hosts must end with the
 * same configuration, and every result must match what the log contains.
 */
final class ConfigServicePropertyTest {

  private static final int STEPS = 80;

  @Property(seed = "71", tries = 100)
  void hostsAgreeAndResultsMatchLog(@ForAll long seed) {
    ConfigSimulation simulation = new ConfigSimulation(seed);
    for (int step = 0; step < STEPS; step++) {
      simulation.step();
      simulation.checkVersionsNeverDecrease();
    }
    simulation.settle();
    simulation.checkVersionsNeverDecrease();
    simulation.checkAgreement();
  }
}
