/** Jobs as callers submit them, and the status that callers receive. */
@NullMarked
package org.hickorymoor.domain.job;

import org.jspecify.annotations.NullMarked;
