/** Tests of reading from and appending to streams, with an in-memory log. */
@NullMarked
package org.hickorymoor.daemon.stream;

import org.jspecify.annotations.NullMarked;
