/** Model of jobs with dependent steps: specification, progress of each task, and placement. */
@NullMarked
package org.hickorymoor.domain.workload;

import org.jspecify.annotations.NullMarked;
