/** Election of the coordinator of a failure domain, and execution of jobs on its workers. */
@NullMarked
package org.hickorymoor.daemon.coordinator;

import org.jspecify.annotations.NullMarked;
