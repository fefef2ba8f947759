/** Message types and codecs for data exchanged between processes. */
@NullMarked
package org.hickorymoor.protocol;

import org.jspecify.annotations.NullMarked;
