package org.hickorymoor.protocol.platform;

/**
 * A host in the platform's host list.
 *
 * @param hostId id of the host
 * @param role purpose of the host
 * @param domain failure domain
 * @param region region of the host
 * @param rack rack within the failure domain
 * @param address {@code ip:port} of its interface
 * @param state whether the host is in use
 */
public record HostEntry(
    String hostId,
    HostRole role,
    String domain,
    String region,
    String rack,
    String address,
    HostState state) {}
