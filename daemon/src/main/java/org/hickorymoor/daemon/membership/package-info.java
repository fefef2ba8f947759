/** Tracks the hosts of the cluster and their condition. */
@NullMarked
package org.hickorymoor.daemon.membership;

import org.jspecify.annotations.NullMarked;
