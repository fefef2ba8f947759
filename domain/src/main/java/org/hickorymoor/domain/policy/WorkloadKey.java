package org.hickorymoor.domain.policy;

/**
 * Names a kind of work whose sizes and run times are learned together.
 *
 * @param team the team
 * @param name the kind of work within the team
 */
record WorkloadKey(String team, String name) {}
