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
 * <p>Each endpoint is owned by one live VM of its availability zone, which alone counts the slots. A VM starts a task
 * on another's endpoint only with a credit, so that tasks wait at their home and none is refused by a full endpoint.
 * Ownership serves efficiency only: nothing that must hold depends on it.
 */
final class CreditsPolicy implements PlacementPolicy {

    private static final long SETTLE_MS = 1_000;
    private static final int GROUP_SIZE = 64;
    private static final double REMOTE_ZONE_MS = 3;

    private final Blackboard board;
    private final VmShares shares;
    private final LivePeers peers;
    private CreditLender lender;
    private CreditBorrower borrower;
    private EndpointIndex index;
    private boolean ticking;

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
        boolean settled = nowMs >= credits.ownerEffectiveAtMs();
        if (owner == null || isCutOff()) {
            return shares.slotShare(endpoint.spec());
        }
        if (owner.equals(self())) {
            int own = settled ? endpoint.spec().slots() : shares.slotShare(endpoint.spec());
            return Math.max(0, own - credits.grantedSlots());
        }
        int held = Math.min(credits.borrowed().balance(), endpoint.spec().slots());
        return settled ? held : Math.max(held, shares.slotShare(endpoint.spec()));
    }

    @Override
    public double rank(EndpointWork entry, Context context) {
        double meanMs = index.pool(entry.work()).state().meanRunMs();
        boolean remote = !entry.endpoint().spec().zone().equals(board.settings().zone());
        return entry.slowdown() * meanMs + (remote ? REMOTE_ZONE_MS : 0);
    }

    @Override
    public void handle(Event event, Context context) {
        if (event instanceof PeerEvent.LinkDown d) {
            forget(d.vm(), context);
        } else if (event instanceof PeerEvent.Received r) {
            receive(r, context);
        }
    }

    @Override
    public void configurationChanged(Context context) {
        reassign(context);
        if (!ticking) {
            ticking = true;
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
        if (!isCutOff()) {
            borrower.requestCredits(pool, context);
        }
    }

    private void receive(PeerEvent.Received received, Context context) {
        if (received.message() instanceof MembershipMessage.Heartbeat h && !h.ready()) {
            forget(received.from().vm(), context);
            return;
        }
        hear(received.from(), context);
        if (received.message() instanceof PlacementMessage m && peers.isLiveIncarnation(received.from())) {
            exchange(received.from(), m, context);
        }
    }

    private void exchange(Member from, PlacementMessage message, Context context) {
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

    private void hear(Member from, Context context) {
        boolean restarted = peers.isLive(from.vm()) && !peers.isLiveIncarnation(from);
        if (restarted) {
            forget(from.vm(), context);
        }
        if (peers.recordMessage(from, context.nowMs())) {
            reassign(context);
        }
    }

    private void forget(VmId vm, Context context) {
        if (peers.remove(vm)) {
            reassign(context);
        }
    }

    /** Tells whether the ticket names other VMs and none of them is heard. */
    private boolean isCutOff() {
        return peers.size() == 0 && board.tickets().inForce().vms().size() > 1;
    }

    private void reassign(Context context) {
        peers.groupByZone();
        long settledAtMs = shares.vmCount() == 1 ? context.nowMs() : context.nowMs() + SETTLE_MS;
        Map<ZoneId, Integer> sizes = zoneSizes();
        Map<String, Optional<VmId>> owners = new HashMap<>();
        for (EndpointState e : board.endpoints().states().values()) {
            ZoneId zone = e.spec().zone();
            VmId owner = owners.computeIfAbsent(
                            group(e, sizes.get(zone)),
                            g -> Optional.ofNullable(RendezvousHash.choose(g, peers.inZone(zone))))
                    .orElse(null);
            if (!Objects.equals(owner, e.credits().owner().orElse(null))) {
                e.credits().setOwner(owner, settledAtMs);
            }
        }
        lender.reclaimFromDeadBorrowers();
        borrower.ownersChanged();
        refreshAll(context);
        context.schedule(settledAtMs, this::refreshAll);
    }

    private Map<ZoneId, Integer> zoneSizes() {
        Map<ZoneId, Integer> sizes = new HashMap<>();
        for (EndpointState e : board.endpoints().states().values()) {
            sizes.merge(e.spec().zone(), 1, Integer::sum);
        }
        return sizes;
    }

    /** Names the endpoints of a zone that have one owner: few owners make few messages, several share the load. */
    private static String group(EndpointState e, int zoneSize) {
        int groups = Integer.highestOneBit(Math.max(1, zoneSize / GROUP_SIZE));
        return e.spec().zone().name() + '/' + Math.floorMod(e.spec().id().hashCode(), groups);
    }

    private void refreshAll(Context context) {
        for (EndpointState e : board.endpoints().states().values()) {
            index.refresh(e, context);
            int over = e.usedSlots() - usableSlots(e, context.nowMs());
            if (over > 0 && e.isServing()) {
                board.counters().add(Counter.SLOTS_OVERCOMMITTED, over);
            }
        }
    }

    private void scheduleTick(Context context) {
        context.schedule(context.nowMs() + CreditIntervals.tickIntervalMs(board.settings()), this::tick);
    }

    private void tick(Context context) {
        if (peers.removeExpired(context.nowMs())) {
            reassign(context);
        }
        borrower.tick(context);
        lender.tick(context);
        scheduleTick(context);
    }

    private VmId self() {
        return board.settings().self().vm();
    }
}
