/** Records job state in the platform's log, where it survives the loss of any host. */
@NullMarked
package org.hickorymoor.daemon.journal;

import org.jspecify.annotations.NullMarked;
