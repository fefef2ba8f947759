/** The daemon: services, shards and adapters. */
@NullMarked
package org.hickorymoor.daemon;

import org.jspecify.annotations.NullMarked;
