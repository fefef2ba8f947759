/** Tests for the daemon settings. */
package org.hickorymoor.daemon.settings;
