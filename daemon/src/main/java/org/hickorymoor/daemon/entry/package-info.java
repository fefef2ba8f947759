/** Takes callers' requests and brings each to the coordinator that can answer it. */
@NullMarked
package org.hickorymoor.daemon.entry;

import org.jspecify.annotations.NullMarked;
