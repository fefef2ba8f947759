/** What the log says of jobs: pure state machines that apply its entries in offset order. */
@NullMarked
package org.hickorymoor.domain.ledger;

import org.jspecify.annotations.NullMarked;
