/** Tests of the settings. */
package org.hickorymoor.daemon.settings;
