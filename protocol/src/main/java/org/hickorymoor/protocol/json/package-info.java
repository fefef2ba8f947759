/** Strict reading of records from JSON, with every mistake named. */
@NullMarked
package org.hickorymoor.protocol.json;

import org.jspecify.annotations.NullMarked;
