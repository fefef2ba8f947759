/** Following and appending to the log's streams. */
@NullMarked
package org.hickorymoor.daemon.stream;

import org.jspecify.annotations.NullMarked;
