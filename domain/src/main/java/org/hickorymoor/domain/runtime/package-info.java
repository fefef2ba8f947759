/** Prediction of run times from finished runs; does no I/O and reads no clock. */
@NullMarked
package org.hickorymoor.domain.runtime;

import org.jspecify.annotations.NullMarked;
