/** What callers ask for and what they are told. */
@NullMarked
package org.hickorymoor.domain.job;

import org.jspecify.annotations.NullMarked;
