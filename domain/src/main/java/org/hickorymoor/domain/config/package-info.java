/** The cluster configuration and the state machine by which all hosts agree on its version. */
@NullMarked
package org.hickorymoor.domain.config;

import org.jspecify.annotations.NullMarked;
