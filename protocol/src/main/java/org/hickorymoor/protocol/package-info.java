/** Shapes and codecs of what crosses a process boundary. */
@NullMarked
package org.hickorymoor.protocol;

import org.jspecify.annotations.NullMarked;
