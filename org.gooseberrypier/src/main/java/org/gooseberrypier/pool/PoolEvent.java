package org.gooseberrypier.pool;

import java.util.List;
import java.util.Optional;

/** What happens to a {@link PoolCore}. */
public sealed interface PoolEvent {

    /** Time has passed. */
    record Tick() implements PoolEvent {}

    /**
     * A caller submitted a job.
     *
     * @param call the number under which the caller is answered
     * @param job the job
     */
    record JobSubmitted(long call, PoolJob job) implements PoolEvent {}

    /**
     * A caller closed its connection before its answer.
     *
     * @param call the number of its call
     */
    record CallerDisconnected(long call) implements PoolEvent {}

    /**
     * A caller cancels a job.
     *
     * @param job the job's identifier
     */
    record JobCancelled(String job) implements PoolEvent {}

    /**
     * The newest ownership was read from the shared store.
     *
     * @param nextOffset where the next record will lie
     * @param newest the newest record, if there is one
     * @param requestedAtMs when the store was asked, on this VM's steady clock
     */
    record OwnershipRead(long nextOffset, Optional<Ownership> newest, long requestedAtMs) implements PoolEvent {}

    /**
     * A claim has ended.
     *
     * @param owner the VM that the record names
     * @param result what came of it
     */
    record ClaimEnded(VmIncarnation owner, ClaimResult result) implements PoolEvent {}

    /**
     * The link to a peer that may be the owner is open.
     *
     * @param peer the peer's address
     */
    record OwnerLinkUp(String peer) implements PoolEvent {}

    /**
     * The link to a peer was lost or could not be opened.
     *
     * @param peer the peer's address
     * @param refused whether nobody listens there
     */
    record OwnerLinkDown(String peer, boolean refused) implements PoolEvent {}

    /**
     * The owner sent something.
     *
     * @param peer the sender's address
     * @param message what
     */
    record OwnerMessageReceived(String peer, PoolMessage.ToEntry message) implements PoolEvent {}

    /**
     * A VM opened a link to this one.
     *
     * @param vm the VM
     */
    record EntryLinkUp(VmIncarnation vm) implements PoolEvent {}

    /**
     * A VM was heard over the link that it had before this VM may have stood still.
     *
     * @param vm the VM
     */
    record EntryLinkConfirmed(VmIncarnation vm) implements PoolEvent {}

    /**
     * The link of a VM to this one was lost.
     *
     * @param vm the VM
     */
    record EntryLinkDown(VmIncarnation vm) implements PoolEvent {}

    /**
     * An attached VM sent something.
     *
     * @param vm the VM
     * @param message what
     */
    record EntryMessageReceived(VmIncarnation vm, PoolMessage.ToOwner message) implements PoolEvent {}

    /**
     * The endpoints were read from the shared store.
     *
     * @param endpoints all that are registered
     * @param requestedAtMs when the store was asked, on this VM's steady clock
     */
    record EndpointsRead(List<PoolEndpoint> endpoints, long requestedAtMs) implements PoolEvent {

        /** Copies the list. */
        public EndpointsRead {
            endpoints = List.copyOf(endpoints);
        }
    }

    /**
     * A {@link PoolEffect.RenewLeases} has ended.
     *
     * @param request the call
     * @param result what came of it
     */
    record LeaseRenewalEnded(PoolEffect.RenewLeases request, LeaseRenewalResult result) implements PoolEvent {}

    /**
     * A {@link PoolEffect.Start} has ended.
     *
     * @param start the order
     * @param result what came of it
     */
    record StartEnded(PoolEffect.Start start, StartResult result) implements PoolEvent {}

    /**
     * A {@link PoolEffect.Stop} has ended.
     *
     * @param stop the order
     * @param accepted whether the endpoint will not run the run any more
     */
    record StopEnded(PoolEffect.Stop stop, boolean accepted) implements PoolEvent {}

    /** The VM may have stood still for a while that its steady clock did not count. */
    record PauseDetected() implements PoolEvent {}

    /** The VM is asked to stop gracefully. */
    record StopRequested() implements PoolEvent {}
}
