/** Adapters that meet the platform over HTTP, as {@code docs/PLATFORM.md} states. */
@NullMarked
package org.hickorymoor.daemon.adapter;

import org.jspecify.annotations.NullMarked;
