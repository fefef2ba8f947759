/** Ownership leases on workers, and authority over a failure domain. */
@NullMarked
package org.hickorymoor.domain.customer;

import org.jspecify.annotations.NullMarked;
