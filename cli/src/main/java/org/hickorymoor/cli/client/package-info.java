/**
 * Client of the HTTP API, with failover between servers and a limit on the time spent on retries.
 */
@NullMarked
package org.hickorymoor.cli.client;

import org.jspecify.annotations.NullMarked;
