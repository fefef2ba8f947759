/**
 * Jobs made of dependent steps: what callers submit, how far each task is, and where tasks go next.
 */
@NullMarked
package org.hickorymoor.domain.workload;

import org.jspecify.annotations.NullMarked;
