/** The audit trail: who changed what, when and with which result. */
@NullMarked
package org.hickorymoor.daemon.audit;

import org.jspecify.annotations.NullMarked;
