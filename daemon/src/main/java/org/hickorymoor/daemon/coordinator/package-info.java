/** Holds the workers of a failure domain, runs its jobs on them and answers for them. */
@NullMarked
package org.hickorymoor.daemon.coordinator;

import org.jspecify.annotations.NullMarked;
