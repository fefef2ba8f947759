package org.hickorymoor.domain.policy;

import org.hickorymoor.domain.Resources;

/** Arithmetic on {@link Resources}. */
final class ResourceMath {

  private static final int RESOURCE_COUNT = 5;

  private ResourceMath() {}

  /** Returns the maximum per resource. */
  static Resources max(Resources a, Resources b) {
    return new Resources(
        Math.max(a.slots(), b.slots()),
        Math.max(a.connections(), b.connections()),
        Math.max(a.cpuMillis(), b.cpuMillis()),
        Math.max(a.memoryMb(), b.memoryMb()),
        Math.max(a.accelerators(), b.accelerators()));
  }

  /** Scales all resources except accelerators; non-zero amounts stay at least 1. */
  static Resources scale(Resources amount, double share) {
    return new Resources(
        scaleToAtLeastOne(amount.slots(), share),
        scaleToAtLeastOne(amount.connections(), share),
        scaleToAtLeastOne(amount.cpuMillis(), share),
        scaleToAtLeastOne(amount.memoryMb(), share),
        amount.accelerators());
  }

  /** Multiplies each resource by a factor. */
  static Resources multiply(Resources amount, int factor) {
    return new Resources(
        amount.slots() * factor,
        amount.connections() * factor,
        amount.cpuMillis() * factor,
        amount.memoryMb() * factor,
        amount.accelerators() * factor);
  }

  /** Returns the number of times that a demand fits in the free resources. */
  static int countFitting(Resources free, Resources demand) {
    int count = Integer.MAX_VALUE;
    count = Math.min(count, quotient(free.slots(), demand.slots()));
    count = Math.min(count, quotient(free.connections(), demand.connections()));
    count = Math.min(count, quotient(free.cpuMillis(), demand.cpuMillis()));
    count = Math.min(count, quotient(free.memoryMb(), demand.memoryMb()));
    return Math.min(count, quotient(free.accelerators(), demand.accelerators()));
  }

  /** Returns the largest used share of any resource. */
  static double dominantShare(Resources used, Resources total) {
    double share = ratio(used.slots(), total.slots());
    share = Math.max(share, ratio(used.connections(), total.connections()));
    share = Math.max(share, ratio(used.cpuMillis(), total.cpuMillis()));
    share = Math.max(share, ratio(used.memoryMb(), total.memoryMb()));
    return Math.max(share, ratio(used.accelerators(), total.accelerators()));
  }

  /** Returns the mean used share over all resources. */
  static double meanUtilization(Resources used, Resources total) {
    double sum =
        ratio(used.slots(), total.slots())
            + ratio(used.connections(), total.connections())
            + ratio(used.cpuMillis(), total.cpuMillis())
            + ratio(used.memoryMb(), total.memoryMb())
            + ratio(used.accelerators(), total.accelerators());
    return sum / RESOURCE_COUNT;
  }

  static double ratio(double used, double total) {
    return total > 0 ? used / total : 0;
  }

  private static int quotient(int free, int demand) {
    if (demand > 0) {
      return Math.max(0, free / demand);
    }
    return free < 0 ? 0 : Integer.MAX_VALUE;
  }

  private static int scaleToAtLeastOne(int amount, double share) {
    return amount == 0 ? 0 : Math.max(1, (int) Math.round(amount * share));
  }
}
