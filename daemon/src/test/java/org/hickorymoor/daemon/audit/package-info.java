/** Tests of the audit services, with a log in memory. */
@NullMarked
package org.hickorymoor.daemon.audit;

import org.jspecify.annotations.NullMarked;
