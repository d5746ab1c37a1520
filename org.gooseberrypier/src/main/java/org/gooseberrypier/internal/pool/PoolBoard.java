package org.gooseberrypier.internal.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.gooseberrypier.pool.Ownership;
import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEndpoint;
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.VmIncarnation;

/** State of the pool that its controllers share; each section is written only by the controller named above it. */
public final class PoolBoard {

    private final VmIncarnation self;
    private final Consumer<PoolEffect> sink;
    private final List<PoolMessage.ToEntry> localToEntry = new ArrayList<>();
    private final List<PoolMessage.ToOwner> localToOwner = new ArrayList<>();

    long now;

    // Written by OwnershipController.
    Optional<Ownership> latestOwnership = Optional.empty();
    OwnerRole role = OwnerRole.FOLLOWER;
    long token;
    long ownerSinceMs;
    /** Whether the previous owner may have been replaced before it stopped runs that nobody waits for. */
    boolean previousOwnerWasBrief;

    String linkedOwner = "";
    boolean stopping;
    /** When this VM detected a pause after which its ownership is not confirmed yet, in milliseconds; 0 if there is none. */
    long unconfirmedSinceMs;

    /** When the latest read of the store was requested that named this VM as the owner, in milliseconds. */
    long ownershipConfirmedAtMs = Long.MIN_VALUE / 2;

    // Written by LeaseController.
    List<PoolEndpoint> registeredEndpoints = List.of();
    final Map<String, LeasedEndpoint> endpoints = new LinkedHashMap<>();
    boolean fenced;

    // Written by JobController.
    final Map<String, OwnedJob> jobs = new LinkedHashMap<>();
    boolean placementDue;

    /**
     * Creates the initial state of one VM, which owns nothing.
     *
     * @param self this VM
     * @param sink receives the effects
     */
    public PoolBoard(VmIncarnation self, Consumer<PoolEffect> sink) {
        this.self = self;
        this.sink = sink;
    }

    VmIncarnation self() {
        return self;
    }

    boolean isOwner() {
        return role != OwnerRole.FOLLOWER;
    }

    /** Returns whether jobs can be forwarded to an owner now. */
    boolean hasOwner() {
        return isOwner() || !linkedOwner.isEmpty();
    }

    void emit(PoolEffect effect) {
        sink.accept(effect);
    }

    void log(String text) {
        sink.accept(new PoolEffect.Log(false, text));
    }

    void warn(String text) {
        sink.accept(new PoolEffect.Log(true, text));
    }

    /** Sends a message to an entry VM, which may be this VM. */
    void sendToEntry(VmIncarnation vm, PoolMessage.ToEntry message) {
        if (vm.equals(self)) {
            localToEntry.add(message);
        } else {
            sink.accept(new PoolEffect.SendToEntry(vm, message));
        }
    }

    /** Sends a message to the owner, which may be this VM. */
    void sendToOwner(PoolMessage.ToOwner message) {
        if (isOwner()) {
            localToOwner.add(message);
        } else {
            sink.accept(new PoolEffect.SendToOwner(message));
        }
    }

    List<PoolMessage.ToEntry> drainToEntry() {
        List<PoolMessage.ToEntry> drained = List.copyOf(localToEntry);
        localToEntry.clear();
        return drained;
    }

    List<PoolMessage.ToOwner> drainToOwner() {
        List<PoolMessage.ToOwner> drained = List.copyOf(localToOwner);
        localToOwner.clear();
        return drained;
    }
}
