package org.gooseberrypier.internal.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.gooseberrypier.event.Event;
import org.gooseberrypier.event.PeerEvent;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.internal.board.EndpointCredits;
import org.gooseberrypier.internal.board.EndpointState;
import org.gooseberrypier.internal.board.EndpointWork;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.peer.MembershipMessage;
import org.gooseberrypier.peer.PlacementMessage;

/**
 * Lends slots between VMs on demand.
 *
 * <p>Each endpoint is owned by one live VM of its availability zone, and only the owner counts the slots. A VM starts a
 * task on an endpoint of another owner only with a credit for a slot. Tasks therefore wait on the VM that admitted
 * them, and no full endpoint refuses a task. Ownership is an optimization: no guarantee depends on it.
 */
final class CreditsPolicy implements PlacementPolicy {

    private static final long OWNER_CHANGE_DELAY_MS = 1_000;
    private static final int MIN_ENDPOINTS_PER_GROUP = 64;
    private static final double REMOTE_ZONE_PENALTY_MS = 3;

    private final Blackboard board;
    private final VmShares shares;
    private final LivePeers peers;
    private CreditLender lender;
    private CreditBorrower borrower;
    private EndpointIndex index;
    private boolean tickScheduled;

    CreditsPolicy(Blackboard board, VmShares shares) {
        this.board = board;
        this.shares = shares;
        peers = new LivePeers(board);
    }

    @Override
    public void attach(EndpointIndex endpoints) {
        index = endpoints;
        lender = new CreditLender(board, endpoints, peers);
        borrower = new CreditBorrower(board, endpoints);
    }

    @Override
    public int usableSlots(EndpointState endpoint, long nowMs) {
        EndpointCredits credits = endpoint.credits();
        VmId owner = credits.owner().orElse(null);
        boolean ownerEffective = nowMs >= credits.ownerEffectiveAtMs();
        if (owner == null || isIsolated()) {
            return shares.slotShare(endpoint.spec());
        }
        if (owner.equals(self())) {
            int own = ownerEffective ? endpoint.spec().slots() : shares.slotShare(endpoint.spec());
            return Math.max(0, own - credits.grantedSlots());
        }
        int borrowed = Math.min(credits.borrowed().balance(), endpoint.spec().slots());
        return ownerEffective ? borrowed : Math.max(borrowed, shares.slotShare(endpoint.spec()));
    }

    @Override
    public double rank(EndpointWork entry, Context context) {
        double meanMs = index.pool(entry.work()).state().meanRunMs();
        boolean remote = !entry.endpoint().spec().zone().equals(board.settings().zone());
        return entry.slowdown() * meanMs + (remote ? REMOTE_ZONE_PENALTY_MS : 0);
    }

    @Override
    public void handle(Event event, Context context) {
        if (event instanceof PeerEvent.LinkDown d) {
            removePeer(d.vm(), context);
        } else if (event instanceof PeerEvent.Received r) {
            receive(r, context);
        }
    }

    @Override
    public void configurationChanged(Context context) {
        reassignOwners(context);
        if (!tickScheduled) {
            tickScheduled = true;
            scheduleTick(context);
        }
    }

    @Override
    public void taskStarted(EndpointState endpoint) {
        borrower.taskStarted(endpoint);
    }

    @Override
    public void slotsReleased(EndpointState endpoint, Context context) {
        if (endpoint.credits().owner().filter(o -> o.equals(self())).isPresent()) {
            lender.slotsReleased(endpoint, context);
        } else {
            borrower.slotsReleased(endpoint, context);
        }
    }

    @Override
    public void noFreeEndpoint(WorkPool pool, Context context) {
        if (!isIsolated()) {
            borrower.requestCredits(pool, context);
        }
    }

    private void receive(PeerEvent.Received received, Context context) {
        if (received.message() instanceof MembershipMessage.Heartbeat h && !h.ready()) {
            removePeer(received.from().vm(), context);
            return;
        }
        recordMessage(received.from(), context);
        if (received.message() instanceof PlacementMessage m && peers.isLiveIncarnation(received.from())) {
            handlePlacementMessage(received.from(), m, context);
        }
    }

    private void handlePlacementMessage(Member from, PlacementMessage message, Context context) {
        if (message instanceof PlacementMessage.CreditDemand d) {
            lender.handleDemand(from.vm(), d, context);
        } else if (message instanceof PlacementMessage.CreditReturn r) {
            lender.handleReturn(from.vm(), r, context);
        } else if (message instanceof PlacementMessage.CreditGrant g) {
            borrower.handleGrant(from, g, context);
        } else if (message instanceof PlacementMessage.CreditRecall r) {
            borrower.handleRecall(from.vm(), r, context);
        }
    }

    private void recordMessage(Member from, Context context) {
        boolean restarted = peers.isLive(from.vm()) && !peers.isLiveIncarnation(from);
        if (restarted) {
            removePeer(from.vm(), context);
        }
        if (peers.recordMessage(from, context.nowMs())) {
            reassignOwners(context);
        }
    }

    private void removePeer(VmId vm, Context context) {
        if (peers.remove(vm)) {
            reassignOwners(context);
        }
    }

    /** Tells whether the ticket names other VMs and none of them is live. */
    private boolean isIsolated() {
        return peers.size() == 0 && board.tickets().inForce().vms().size() > 1;
    }

    private void reassignOwners(Context context) {
        peers.groupByZone();
        long ownerEffectiveAtMs = shares.vmCount() == 1 ? context.nowMs() : context.nowMs() + OWNER_CHANGE_DELAY_MS;
        Map<ZoneId, Integer> sizes = zoneSizes();
        Map<String, Optional<VmId>> owners = new HashMap<>();
        for (EndpointState e : board.endpoints().states().values()) {
            ZoneId zone = e.spec().zone();
            VmId owner = owners.computeIfAbsent(
                            groupKey(e, sizes.get(zone)),
                            g -> Optional.ofNullable(RendezvousHash.choose(g, peers.inZone(zone))))
                    .orElse(null);
            if (!Objects.equals(owner, e.credits().owner().orElse(null))) {
                e.credits().setOwner(owner, ownerEffectiveAtMs);
            }
        }
        lender.reclaimFromDeadBorrowers();
        borrower.ownersChanged();
        refreshAll(context);
        context.schedule(ownerEffectiveAtMs, this::refreshAll);
    }

    private Map<ZoneId, Integer> zoneSizes() {
        Map<ZoneId, Integer> sizes = new HashMap<>();
        for (EndpointState e : board.endpoints().states().values()) {
            sizes.merge(e.spec().zone(), 1, Integer::sum);
        }
        return sizes;
    }

    /**
     * Returns the key of the group of an endpoint. All endpoints of a group have the same owner: few groups need few
     * messages, several groups spread the load of their owners.
     */
    private static String groupKey(EndpointState e, int zoneSize) {
        int groups = Integer.highestOneBit(Math.max(1, zoneSize / MIN_ENDPOINTS_PER_GROUP));
        return e.spec().zone().name() + '/' + Math.floorMod(e.spec().id().hashCode(), groups);
    }

    private void refreshAll(Context context) {
        for (EndpointState e : board.endpoints().states().values()) {
            index.refresh(e, context);
            int overcommitted = e.usedSlots() - usableSlots(e, context.nowMs());
            if (overcommitted > 0 && e.isServing()) {
                board.counters().add(Counter.SLOTS_OVERCOMMITTED, overcommitted);
            }
        }
    }

    private void scheduleTick(Context context) {
        context.schedule(context.nowMs() + CreditIntervals.tickIntervalMs(board.settings()), this::tick);
    }

    private void tick(Context context) {
        if (peers.removeExpired(context.nowMs())) {
            reassignOwners(context);
        }
        borrower.tick(context);
        lender.tick(context);
        scheduleTick(context);
    }

    private VmId self() {
        return board.settings().self().vm();
    }
}
