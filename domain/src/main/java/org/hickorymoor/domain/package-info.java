/** Domain model of the scheduler; does no I/O and reads no clock. */
@NullMarked
package org.hickorymoor.domain;

import org.jspecify.annotations.NullMarked;
