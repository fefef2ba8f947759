/** A TCP proxy for tests that injects network faults. */
@NullMarked
package org.hickorymoor.standins.proxy;

import org.jspecify.annotations.NullMarked;
