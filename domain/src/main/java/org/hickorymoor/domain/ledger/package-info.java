/** State machines that rebuild the state of jobs and keys from log entries in offset order. */
@NullMarked
package org.hickorymoor.domain.ledger;

import org.jspecify.annotations.NullMarked;
