package org.gooseberrypier.pool;

/**
 * One life of a VM and where its peers reach it.
 *
 * @param address the address for peers, IP and port
 * @param zone its availability zone
 * @param incarnation the number of this life, new at each start
 */
public record VmContact(String address, String zone, long incarnation) {}
