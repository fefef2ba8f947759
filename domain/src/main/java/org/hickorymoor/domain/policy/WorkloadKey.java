package org.hickorymoor.domain.policy;

/**
 * Identifies a workload whose usage and run times are estimated together.
 *
 * @param team the team
 * @param name the name of the workload within the team
 */
record WorkloadKey(String team, String name) {}
