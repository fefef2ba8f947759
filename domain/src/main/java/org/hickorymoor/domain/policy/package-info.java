/** Decisions: what runs where, when, and in whose favour. */
@NullMarked
package org.hickorymoor.domain.policy;

import org.jspecify.annotations.NullMarked;
