/** Routes callers' requests to the coordinators that handle them. */
@NullMarked
package org.hickorymoor.daemon.entry;

import org.jspecify.annotations.NullMarked;
