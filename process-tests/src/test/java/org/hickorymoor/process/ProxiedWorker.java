package org.hickorymoor.process;

import org.hickorymoor.standins.proxy.FaultProxy;

/**
 * A worker in its own process that daemons reach only through a proxy.
 *
 * @param id worker id
 * @param process its process
 * @param address address of the worker itself, for direct calls by the test
 * @param proxy proxy whose address is registered in the host list
 */
record ProxiedWorker(String id, JavaProcess process, String address, FaultProxy proxy) {}
