/** Reading from and appending to streams of the log. */
@NullMarked
package org.hickorymoor.daemon.stream;

import org.jspecify.annotations.NullMarked;
