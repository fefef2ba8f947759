/** Tests of the configuration and its state machine. */
@NullMarked
package org.hickorymoor.domain.config;

import org.jspecify.annotations.NullMarked;
