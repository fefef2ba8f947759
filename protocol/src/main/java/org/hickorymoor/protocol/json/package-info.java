/** Strict JSON record parsing that reports all validation errors at once. */
@NullMarked
package org.hickorymoor.protocol.json;

import org.jspecify.annotations.NullMarked;
