package org.hickorymoor.protocol.platform;

/**
 * One host in the platform's host list.
 *
 * @param hostId name of the host
 * @param role what it is
 * @param domain failure domain
 * @param region region
 * @param rack rack within the failure domain
 * @param address ip:port of its interface
 * @param state live or leaving
 */
public record HostEntry(
    String hostId,
    HostRole role,
    String domain,
    String region,
    String rack,
    String address,
    HostState state) {}
