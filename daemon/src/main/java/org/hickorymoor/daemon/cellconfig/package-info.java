/** Distribution of the cell's configuration: from the store, or from peers while it is away. */
@NullMarked
package org.hickorymoor.daemon.cellconfig;

import org.jspecify.annotations.NullMarked;
