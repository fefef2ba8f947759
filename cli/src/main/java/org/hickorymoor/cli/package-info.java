/** The command-line tool for operators and callers. */
@NullMarked
package org.hickorymoor.cli;

import org.jspecify.annotations.NullMarked;
