/** System tests that run each component in its own process. */
package org.hickorymoor.process;
