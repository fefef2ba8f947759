/** Adapters that implement the ports over HTTP, as specified in {@code docs/PLATFORM.md}. */
@NullMarked
package org.hickorymoor.daemon.adapter;

import org.jspecify.annotations.NullMarked;
