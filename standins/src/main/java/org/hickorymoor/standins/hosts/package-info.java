/** A stand-in for the platform's host list. */
@NullMarked
package org.hickorymoor.standins.hosts;

import org.jspecify.annotations.NullMarked;
