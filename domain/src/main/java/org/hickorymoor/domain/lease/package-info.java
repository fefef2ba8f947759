/** Who may give work to a worker, and who decides for a failure domain. */
@NullMarked
package org.hickorymoor.domain.lease;

import org.jspecify.annotations.NullMarked;
