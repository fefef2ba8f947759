/**
 * Runs the jobs of a cell: one host at a time coordinates, and what must last lives in the store.
 */
@NullMarked
package org.hickorymoor.daemon.shard;

import org.jspecify.annotations.NullMarked;
