/** Which hosts there are, and how they are. */
@NullMarked
package org.hickorymoor.daemon.membership;

import org.jspecify.annotations.NullMarked;
