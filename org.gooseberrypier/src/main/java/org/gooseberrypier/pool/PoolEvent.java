package org.gooseberrypier.pool;

import java.util.List;
import java.util.Optional;

/** Input of a {@link PoolCore}. */
public sealed interface PoolEvent {

    /** Time has passed; sent at regular intervals. */
    record Tick() implements PoolEvent {}

    /**
     * A caller submitted a job.
     *
     * @param call the number of the caller's call, which its answer refers to
     * @param job the job
     * @param patienceMs how long the caller waits for the answer since it sent its request, in milliseconds, or
     *     {@link #UNLIMITED}
     * @param arrivedAtMs the earliest time at which the request may have arrived, on this VM's steady clock, in milliseconds;
     *     a later time than that of the event stands for the time of the event
     */
    record JobSubmitted(long call, PoolJob job, long patienceMs, long arrivedAtMs) implements PoolEvent {

        /** Patience of a caller that does not tell how long it waits. */
        public static final long UNLIMITED = Long.MAX_VALUE / 4;

        /**
         * Creates the event of a request that arrives as the event is handled.
         *
         * @param call the number of the caller's call, which its answer refers to
         * @param job the job
         * @param patienceMs how long the caller waits for the answer, in milliseconds, or {@link #UNLIMITED}
         */
        public JobSubmitted(long call, PoolJob job, long patienceMs) {
            this(call, job, patienceMs, Long.MAX_VALUE);
        }
    }

    /**
     * A caller closed its connection before it was answered.
     *
     * @param call the number of the caller's call
     */
    record CallerDisconnected(long call) implements PoolEvent {}

    /**
     * A caller cancelled a job.
     *
     * @param job the identifier of the job
     */
    record JobCancelled(String job) implements PoolEvent {}

    /**
     * The latest ownership record was read from the shared store.
     *
     * @param nextOffset the offset that the next record will get
     * @param newest the latest record, if there is one
     * @param requestedAtMs when the request was sent, on this VM's steady clock, in milliseconds
     */
    record OwnershipRead(long nextOffset, Optional<Ownership> newest, long requestedAtMs) implements PoolEvent {}

    /**
     * A {@link PoolEffect.Claim} has ended.
     *
     * @param owner the VM that the record names
     * @param result the result of the claim
     */
    record ClaimEnded(VmIncarnation owner, ClaimResult result) implements PoolEvent {}

    /**
     * The link to a peer that may be the owner is up.
     *
     * @param peer the address of the peer
     * @param link the number of the {@link PoolEffect.LinkOwner} that opened the link; events of a link that was closed since
     *     then may still come
     */
    record OwnerLinkUp(String peer, long link) implements PoolEvent {}

    /**
     * The link to a peer was lost or could not be opened.
     *
     * @param peer the address of the peer
     * @param link the number of the {@link PoolEffect.LinkOwner} that opened the link
     * @param refused whether the connection was refused, since no process listens at the address
     */
    record OwnerLinkDown(String peer, long link, boolean refused) implements PoolEvent {}

    /**
     * A message from the owner was received.
     *
     * @param peer the address of the sender
     * @param link the number of the {@link PoolEffect.LinkOwner} that opened the link over which it was sent
     * @param message the message
     */
    record OwnerMessageReceived(String peer, long link, PoolMessage.ToEntry message) implements PoolEvent {}

    /**
     * A {@link PoolEffect.CheckCallers} has ended: all callers that had disconnected before it have been reported.
     *
     * @param requestedAtMs when the check was requested, on this VM's steady clock, in milliseconds
     */
    record CallersChecked(long requestedAtMs) implements PoolEvent {}

    /**
     * An entry VM opened a link to this VM. It replaces an earlier link of the VM, also if the loss of that one has not been
     * reported. The VM forwards the jobs that it still waits for over the new link.
     *
     * @param vm the VM
     * @param link the number of the link, different from those of the VM's earlier links
     * @param acknowledgesHeartbeats whether the VM acknowledges heartbeats; VMs of earlier versions do not
     */
    record EntryLinkUp(VmIncarnation vm, long link, boolean acknowledgesHeartbeats) implements PoolEvent {}

    /**
     * The link of an entry VM to this VM was lost.
     *
     * @param vm the VM
     * @param link the number of the link
     */
    record EntryLinkDown(VmIncarnation vm, long link) implements PoolEvent {}

    /**
     * A message from an entry VM was received.
     *
     * @param vm the VM
     * @param link the number of the link over which it was sent
     * @param message the message
     */
    record EntryMessageReceived(VmIncarnation vm, long link, PoolMessage.ToOwner message) implements PoolEvent {}

    /**
     * The list of endpoints was read from the shared store.
     *
     * @param endpoints all registered endpoints
     * @param requestedAtMs when the request was sent, on this VM's steady clock, in milliseconds
     */
    record EndpointsRead(List<PoolEndpoint> endpoints, long requestedAtMs) implements PoolEvent {

        /** Makes an immutable copy of the list. */
        public EndpointsRead {
            endpoints = List.copyOf(endpoints);
        }
    }

    /**
     * A {@link PoolEffect.RenewLeases} has ended.
     *
     * @param request the call
     * @param result the result of the call
     */
    record LeaseRenewalEnded(PoolEffect.RenewLeases request, LeaseRenewalResult result) implements PoolEvent {}

    /**
     * A {@link PoolEffect.Start} has ended.
     *
     * @param start the order
     * @param result the result of the order
     */
    record StartEnded(PoolEffect.Start start, StartResult result) implements PoolEvent {}

    /**
     * A {@link PoolEffect.Stop} has ended.
     *
     * @param stop the order
     * @param accepted whether the endpoint accepted the order and will not run the run any more
     */
    record StopEnded(PoolEffect.Stop stop, boolean accepted) implements PoolEvent {}

    /**
     * This VM received nothing for a while, since the thread that receives messages had no processor or was blocked. Silence
     * of other VMs and of the store during this time means nothing.
     *
     * @param blockedMs the time, in milliseconds
     */
    record LoopBlocked(long blockedMs) implements PoolEvent {}

    /**
     * The VM may have been paused for a time that its steady clock did not count.
     *
     * @param pausedMs the longest time that the pause may have taken, in milliseconds
     */
    record PauseDetected(long pausedMs) implements PoolEvent {}

    /** A graceful stop of the VM was requested. */
    record StopRequested() implements PoolEvent {}
}
