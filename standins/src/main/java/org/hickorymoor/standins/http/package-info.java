/** HTTP with JSON bodies, as the stand-ins serve it. */
@NullMarked
package org.hickorymoor.standins.http;

import org.jspecify.annotations.NullMarked;
