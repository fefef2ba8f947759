/**
 * Customers: their API keys and policies, the resources that they use, their limits and shares; no
 * I/O, no clock.
 */
@NullMarked
package org.hickorymoor.domain.customer;

import org.jspecify.annotations.NullMarked;
