/** Tests of the audit trail with an in-memory log. */
@NullMarked
package org.hickorymoor.daemon.audit;

import org.jspecify.annotations.NullMarked;
