package org.gooseberrypier.internal.pool;

/** The part that a VM plays towards the endpoints. */
enum OwnerRole {
    /** It hands its jobs to another VM. */
    FOLLOWER,
    /** It owns all endpoints, by a record of the shared store. */
    OWNER,
    /** It owns the endpoints of its zone while neither the owner nor the shared store can be reached. */
    ZONE_OWNER
}
