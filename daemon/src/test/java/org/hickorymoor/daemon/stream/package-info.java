/** Tests of following and appending, with a log in memory. */
@NullMarked
package org.hickorymoor.daemon.stream;

import org.jspecify.annotations.NullMarked;
