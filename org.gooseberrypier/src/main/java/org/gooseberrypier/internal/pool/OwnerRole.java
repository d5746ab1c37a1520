package org.gooseberrypier.internal.pool;

/** Role of a VM in the ownership of the endpoints. */
enum OwnerRole {
    /** Forwards its jobs to another VM. */
    FOLLOWER,
    /** Owns all endpoints, as the latest record of the shared store says. */
    OWNER,
    /** Owns the endpoints of its zone, without a record of the store, while the owner of the pool cannot be reached. */
    ZONE_OWNER
}
