/** Tests of the cluster configuration and its state machine. */
@NullMarked
package org.hickorymoor.domain.config;

import org.jspecify.annotations.NullMarked;
