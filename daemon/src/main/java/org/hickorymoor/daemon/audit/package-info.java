/** The audit trail of changes. */
@NullMarked
package org.hickorymoor.daemon.audit;

import org.jspecify.annotations.NullMarked;
