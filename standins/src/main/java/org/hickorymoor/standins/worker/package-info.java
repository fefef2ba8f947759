/** A stand-in for the platform's workers. */
@NullMarked
package org.hickorymoor.standins.worker;

import org.jspecify.annotations.NullMarked;
