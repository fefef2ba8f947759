package org.hickorymoor.process;

import org.hickorymoor.standins.proxy.FaultProxy;

/**
 * A worker in a process of its own that daemons reach through a proxy only.
 *
 * @param id name of the worker
 * @param process its process
 * @param address where the worker itself serves, for the test
 * @param proxy what daemons reach
 */
record ProxiedWorker(String id, JavaProcess process, String address, FaultProxy proxy) {}
