/** Tests with real processes. */
package org.hickorymoor.process;
