/** Membership: heartbeats between VMs and the zone's views in the platform's log. */
package org.gooseberrypier.internal.membership;
