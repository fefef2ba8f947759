/** Records, states and decisions of the scheduler, free of I/O and of any clock of their own. */
@NullMarked
package org.hickorymoor.domain;

import org.jspecify.annotations.NullMarked;
