/** The HTTP and JSON server of the stand-ins. */
@NullMarked
package org.hickorymoor.standins.http;

import org.jspecify.annotations.NullMarked;
