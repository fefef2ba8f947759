/** A TCP proxy that injects network faults, for tests. */
@NullMarked
package org.hickorymoor.standins.proxy;

import org.jspecify.annotations.NullMarked;
