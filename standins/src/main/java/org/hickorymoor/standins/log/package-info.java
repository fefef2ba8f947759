/** A stand-in for the platform's log service. */
@NullMarked
package org.hickorymoor.standins.log;

import org.jspecify.annotations.NullMarked;
