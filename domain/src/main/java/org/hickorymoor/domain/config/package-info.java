/** The configuration that operators publish, and the state machine that all hosts agree by. */
@NullMarked
package org.hickorymoor.domain.config;

import org.jspecify.annotations.NullMarked;
