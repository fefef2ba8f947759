/** Customers: their API keys, shares and limits; no I/O, no clock. */
@NullMarked
package org.hickorymoor.domain.customer;

import org.jspecify.annotations.NullMarked;
