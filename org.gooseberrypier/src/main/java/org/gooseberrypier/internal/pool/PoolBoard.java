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

/** What the controllers of the pool share; each section is written by the controller that is named there. */
public final class PoolBoard {

    private final VmIncarnation self;
    private final Consumer<PoolEffect> sink;
    private final List<PoolMessage.ToEntry> toOwnEntry = new ArrayList<>();
    private final List<PoolMessage.ToOwner> toOwnOwner = new ArrayList<>();

    long now;

    // Written by OwnershipController.
    Optional<Ownership> latestOwnership = Optional.empty();
    OwnerRole role = OwnerRole.FOLLOWER;
    long token;
    long ownerSinceMs;
    /** Whether the owner before this one may have had no time to stop runs that nobody waits for. */
    boolean previousOwnerWasBrief;

    String linkedOwner = "";
    boolean stopping;
    /** Since when the ownership is in doubt, as this VM may have stood still; 0 if it is not. */
    long unconfirmedSinceMs;

    // Written by LeaseController.
    List<PoolEndpoint> registeredEndpoints = List.of();
    final Map<String, LeasedEndpoint> endpoints = new LinkedHashMap<>();
    boolean fenced;

    // Written by JobController.
    final Map<String, OwnedJob> jobs = new LinkedHashMap<>();
    boolean placementDue;

    /**
     * Creates an empty board.
     *
     * @param self this VM
     * @param sink where effects go
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

    /** Returns whether the entry part can hand jobs to an owner now. */
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

    /** Sends to the entry part of a VM, which may be this one. */
    void sendToEntry(VmIncarnation vm, PoolMessage.ToEntry message) {
        if (vm.equals(self)) {
            toOwnEntry.add(message);
        } else {
            sink.accept(new PoolEffect.SendToEntry(vm, message));
        }
    }

    /** Sends to the owner, which may be this VM. */
    void sendToOwner(PoolMessage.ToOwner message) {
        if (isOwner()) {
            toOwnOwner.add(message);
        } else {
            sink.accept(new PoolEffect.SendToOwner(message));
        }
    }

    List<PoolMessage.ToEntry> drainToEntry() {
        List<PoolMessage.ToEntry> taken = List.copyOf(toOwnEntry);
        toOwnEntry.clear();
        return taken;
    }

    List<PoolMessage.ToOwner> drainToOwner() {
        List<PoolMessage.ToOwner> taken = List.copyOf(toOwnOwner);
        toOwnOwner.clear();
        return taken;
    }
}
