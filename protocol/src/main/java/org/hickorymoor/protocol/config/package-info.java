/** Codecs of the cluster configuration and of the records of its log stream. */
@NullMarked
package org.hickorymoor.protocol.config;

import org.jspecify.annotations.NullMarked;
