/** Keeps in the platform's log what must outlast every host. */
@NullMarked
package org.hickorymoor.daemon.journal;

import org.jspecify.annotations.NullMarked;
