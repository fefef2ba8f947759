/**
 * Schedules the jobs of a cell: one host at a time is the coordinator, and all durable state is
 * kept in the store.
 */
@NullMarked
package org.hickorymoor.daemon.shard;

import org.jspecify.annotations.NullMarked;
