/** The command-line client for operators and for users who submit jobs. */
@NullMarked
package org.hickorymoor.cli;

import org.jspecify.annotations.NullMarked;
