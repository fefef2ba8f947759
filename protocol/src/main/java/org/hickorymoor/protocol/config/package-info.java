/** The records of the log's configuration stream. */
@NullMarked
package org.hickorymoor.protocol.config;

import org.jspecify.annotations.NullMarked;
