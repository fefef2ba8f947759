/** Customers: their policies, the resources that they use, their limits and shares. */
@NullMarked
package org.hickorymoor.domain.customer;

import org.jspecify.annotations.NullMarked;
