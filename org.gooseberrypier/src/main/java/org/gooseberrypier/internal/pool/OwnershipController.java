package org.gooseberrypier.internal.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.gooseberrypier.pool.ClaimResult;
import org.gooseberrypier.pool.Ownership;
import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.PoolEvent;
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.VmIncarnation;

/**
 * Decides which VM owns the pool.
 *
 * <p>The newest record in the shared store names the owner, and its offset makes the fencing token. A VM that has lost the
 * owner claims the next record. Where the store can not be reached either, one VM of each zone owns the endpoints of its
 * zone under a token between two records, so that any later record supersedes it.
 */
final class OwnershipController {

    /**
     * An owner that this VM never reached has written its record not long ago, so it more likely lives beyond a partition
     * than not; claiming sooner would let both sides take the pool from each other. In milliseconds, for most partitions.
     */
    private static final long UNREACHABLE_MS = 6_000;

    /** A closed link is opened again within this time if the owner lives, in milliseconds. */
    private static final long RECONNECT_MS = 60;

    /** Successors claim one after the other at this distance, which covers a claim's way to the store and back. */
    private static final long SUCCESSION_STEP_MS = 40;

    /** A claim without an answer is repeated after this time, in milliseconds. */
    private static final long CLAIM_RETRY_MS = 250;

    /** A zone goes on alone when it has had neither owner nor store for this long, in milliseconds. */
    private static final long ZONE_WITHOUT_STORE_MS = 250;

    /** A zone that reaches the store but not the owner that it names goes on alone after this time, in milliseconds. */
    private static final long ZONE_ALONE_MS = 2_500;

    /** A member of a zone that goes on alone tries the next candidate after this time, in milliseconds. */
    private static final long CANDIDATE_MS = 200;

    /** By then a link whose other end is gone has been found silent, in milliseconds. */
    private static final long DOUBT_MS = 500;

    /** A VM that lost the store's answer for this long can not rely on it, in milliseconds. */
    private static final long STORE_SILENT_MS = 600;

    /** VMs beyond this rank claim together: more steps would take longer than a conflict at the store. */
    private static final int MAX_STEPS = 8;

    /** How many VMs of a zone have tokens of their own within one round. */
    private static final int LOCAL_TOKENS = 16;

    /**
     * Callers send a job again 1.3 s after its VM was lost; the owner of that time stops its runs 0.5 s after it began, and
     * takes up to 0.5 s to begin. One that lasted shorter than that, in milliseconds, may have left them.
     */
    private static final long SHORT_TENURE_MS = 2_300;

    /** A VM that starts, and one that is stopped and started in turn with others, is not steady yet, in milliseconds. */
    static final long MIN_STABLE_MS = 4_000;

    /** A change of the owner delays the jobs that wait; it pays only for a VM that is this much larger. */
    private static final double MUCH_LARGER = 1.5;

    /**
     * After a restart of all VMs the smaller ones let the larger ones claim first: a VM waits this long, in milliseconds, times
     * the share by which it is smaller than the last owner. As long as a silent link is given.
     */
    private static final long SMALL_VM_MS = 400;

    private final PoolBoard board;
    /** When the newest record was first seen here, in milliseconds. */
    private long namedAtMs = Long.MIN_VALUE / 2;

    private List<VmIncarnation> peers = List.of();
    private long end = -1;
    private long readAtMs = Long.MIN_VALUE / 2;
    private long lostAtMs;
    private boolean refused;
    private long refusedAtMs;
    private boolean wasLinked;
    private long claimAtMs;
    private boolean claiming;
    private long offerAtMs;
    private int candidate;
    private long candidateAtMs;
    private String followed = "";
    private String zoneOwner = "";
    private long heartbeatAtMs;
    private int localTokens;

    OwnershipController(PoolBoard board) {
        this.board = board;
        this.lostAtMs = board.now;
    }

    void onOwnershipRead(PoolEvent.OwnershipRead event) {
        readAtMs = board.now;
        end = event.nextOffset();
        if (board.unconfirmedSinceMs > 0 && event.requestedAtMs() >= board.unconfirmedSinceMs) {
            board.unconfirmedSinceMs = 0;
        }
        Optional<Ownership> newest = event.newest();
        boolean changed = newest.isPresent()
                && (board.latestOwnership.isEmpty()
                        || newest.get().offset() > board.latestOwnership.get().offset());
        if (changed) {
            board.latestOwnership = newest;
            use(newest.get());
            namedAtMs = board.now;
        } else if (board.latestOwnership.isPresent()) {
            reconcile(board.latestOwnership.get());
        }
    }

    void onClaimEnded(PoolEvent.ClaimEnded event) {
        claiming = false;
        if (event.result() instanceof ClaimResult.Accepted a) {
            Ownership mine = new Ownership(a.offset(), event.owner());
            if (board.latestOwnership.isEmpty() || board.latestOwnership.get().offset() < mine.offset()) {
                board.latestOwnership = Optional.of(mine);
                end = mine.offset() + 1;
                use(mine);
                namedAtMs = board.now;
            }
        } else {
            board.log("event=claim_failed result=" + event.result().getClass().getSimpleName());
            claimAtMs = board.now + CLAIM_RETRY_MS;
            board.emit(new PoolEffect.ReadOwnership());
        }
    }

    private void use(Ownership ownership) {
        boolean mine = ownership.owner().equals(board.self());
        board.log("event=owner_named token=" + ownership.token() + " owner="
                + ownership.owner().address() + " mine=" + mine);
        if (mine) {
            become(OwnerRole.OWNER, ownership.token());
        } else if (board.role == OwnerRole.ZONE_OWNER) {
            board.emit(new PoolEffect.LinkOwner(ownership.owner().address()));
        } else if (!isWithZoneOwner()
                && !board.linkedOwner.equals(ownership.owner().address())) {
            follow(ownership.owner().address());
        }
    }

    private boolean isWithZoneOwner() {
        return !board.linkedOwner.isEmpty() && zoneOwner.equals(board.linkedOwner);
    }

    /** Claims again where a token that no record stands for was in use. */
    private void reconcile(Ownership ownership) {
        boolean mine = ownership.owner().equals(board.self());
        boolean superseded = board.role == OwnerRole.OWNER && board.fenced;
        if (superseded || mine && board.role == OwnerRole.ZONE_OWNER) {
            claim();
        }
    }

    private void become(OwnerRole role, long token) {
        boolean was = board.isOwner();
        board.previousOwnerWasBrief = was ? board.previousOwnerWasBrief : board.now - namedAtMs < SHORT_TENURE_MS;
        board.role = role;
        board.token = token;
        board.ownerSinceMs = board.now;
        board.linkedOwner = "";
        board.fenced = false;
        followed = "";
        zoneOwner = "";
        heartbeatAtMs = 0;
        // The owner of a zone goes on trying to reach the owner of the pool.
        String above = role == OwnerRole.ZONE_OWNER ? ownerAddress() : "";
        board.emit(new PoolEffect.LinkOwner(above));
        if (!was) {
            board.emit(new PoolEffect.PollEndpoints(true));
        }
        board.log("event=owner_began role=" + role + " token=" + token);
    }

    /** Returns the address of the owner that the store names, or an empty text if that is an earlier life of this VM. */
    private String ownerAddress() {
        String address = board.latestOwnership.map(o -> o.owner().address()).orElse("");
        return address.equals(board.self().address()) ? "" : address;
    }

    private void follow(String address) {
        if (board.isOwner()) {
            board.log("event=owner_ended token=" + board.token + " successor=" + address);
            board.emit(new PoolEffect.PollEndpoints(false));
        }
        board.role = OwnerRole.FOLLOWER;
        board.linkedOwner = "";
        followed = address;
        lostAtMs = board.now;
        wasLinked = false;
        // An earlier life of this VM can not answer.
        refuse(address.equals(board.self().address()));
        board.emit(new PoolEffect.LinkOwner(refused ? "" : address));
    }

    void onOwnerLinkUp(PoolEvent.OwnerLinkUp event) {
        if (board.role == OwnerRole.ZONE_OWNER && event.peer().equals(ownerAddress())) {
            board.log("event=owner_ended token=" + board.token + " successor=" + event.peer());
            board.emit(new PoolEffect.PollEndpoints(false));
            board.role = OwnerRole.FOLLOWER;
            followed = event.peer();
        }
        if (event.peer().equals(followed) && !board.isOwner()) {
            board.linkedOwner = followed;
            wasLinked = true;
            board.log("event=owner_linked owner=" + followed);
        }
    }

    void onOwnerLinkDown(PoolEvent.OwnerLinkDown event) {
        if (!event.peer().equals(followed) || board.isOwner()) {
            return;
        }
        if (!board.linkedOwner.isEmpty()) {
            lostAtMs = board.now;
            board.linkedOwner = "";
            board.warn("event=owner_lost owner=" + followed);
            if (followed.equals(zoneOwner)) {
                zoneOwner = "";
                board.latestOwnership.ifPresent(o -> follow(o.owner().address()));
                return;
            }
        }
        refuse(event.refused());
    }

    void onOwnerMessage(PoolMessage.ToEntry message) {
        if (message instanceof PoolMessage.Heartbeat h && !h.successors().isEmpty()) {
            peers = h.successors();
        } else if (message instanceof PoolMessage.NotOwner) {
            onNotOwner();
        }
    }

    private void onNotOwner() {
        board.linkedOwner = "";
        boolean sameCandidate = followed.equals(zoneOwner);
        zoneOwner = "";
        if (sameCandidate) {
            // It lost the owner a little later than this VM and may own the zone soon.
            candidate = 0;
            return;
        }
        board.latestOwnership.ifPresent(o -> follow(o.owner().address()));
        board.emit(new PoolEffect.ReadOwnership());
    }

    /** Doubts the ownership until the store confirms it, or until links to VMs that are gone have been found silent. */
    void onPauseDetected() {
        board.unconfirmedSinceMs = board.now;
        if (board.isOwner()) {
            board.warn("event=woke token=" + board.token);
            board.emit(new PoolEffect.ReadOwnership());
        }
    }

    private void endDoubt() {
        if (board.unconfirmedSinceMs > 0 && board.now - board.unconfirmedSinceMs >= DOUBT_MS) {
            board.unconfirmedSinceMs = 0;
        }
    }

    /** An endpoint refused the token: either a newer owner is named, or a zone went on alone in between. */
    void onFenced() {
        if (board.role == OwnerRole.ZONE_OWNER) {
            yieldZone();
        } else if (!board.fenced) {
            board.fenced = true;
            board.warn("event=token_refused token=" + board.token);
            board.emit(new PoolEffect.ReadOwnership());
        }
    }

    /** Lets a much larger VM own the pool. Load pattern: VMs of unequal size, of which a small one claimed first. */
    void offerOwnership(List<VmIncarnation> steady) {
        boolean larger = !steady.isEmpty()
                && steady.get(0).milliCores() > MUCH_LARGER * board.self().milliCores();
        boolean settled = board.role == OwnerRole.OWNER && board.now - board.ownerSinceMs >= MIN_STABLE_MS;
        if (larger && settled && !claiming && !board.stopping && board.now >= offerAtMs && end >= 0) {
            claiming = true;
            offerAtMs = board.now + MIN_STABLE_MS;
            board.log("event=offer_ownership to=" + steady.get(0).address() + " milli_cores="
                    + steady.get(0).milliCores());
            board.emit(new PoolEffect.Claim(end, steady.get(0)));
        }
    }

    /** Names the first successor, so that it can go on at once. */
    void handOverOwnership(List<VmIncarnation> successors) {
        board.stopping = true;
        if (board.role == OwnerRole.OWNER && !successors.isEmpty() && end >= 0) {
            board.log("event=hand_over successor=" + successors.get(0).address());
            board.emit(new PoolEffect.Claim(end, successors.get(0)));
        }
    }

    void onTick() {
        endDoubt();
        if (board.isOwner()) {
            return;
        }
        if (!board.linkedOwner.isEmpty()) {
            lostAtMs = board.now;
            return;
        }
        long lostMs = board.now - lostAtMs;
        boolean storeAnswers = board.now - readAtMs < STORE_SILENT_MS;
        if (storeAnswers && lostMs >= patienceMs()) {
            claim();
        } else if (lostMs >= (storeAnswers ? ZONE_ALONE_MS : ZONE_WITHOUT_STORE_MS)) {
            goOnAlone();
        }
    }

    /** Takes note of whether the owner's VM refuses links; the successors take their turns from then on. */
    private void refuse(boolean now) {
        if (now && !refused) {
            refusedAtMs = board.now;
        }
        refused = now;
    }

    private long patienceMs() {
        if (board.latestOwnership.isEmpty()) {
            return (Math.floorMod(board.self().incarnation(), MAX_STEPS)) * SUCCESSION_STEP_MS;
        }
        long base = wasLinked ? RECONNECT_MS : UNREACHABLE_MS;
        long sinceLost = refused ? Math.min(base, refusedAtMs - lostAtMs) : base;
        return sinceLost + rank() * SUCCESSION_STEP_MS + (peers.isEmpty() ? smallVmMs() : 0);
    }

    /** Returns how much longer a VM waits that knows no other yet and is smaller than the last owner. */
    private long smallVmMs() {
        double share = (double) board.self().milliCores()
                / board.latestOwnership.get().owner().milliCores();
        return share >= 1 ? 0 : (long) (SMALL_VM_MS * (1 - share));
    }

    private int rank() {
        int rank = 0;
        for (VmIncarnation p : peers) {
            if (p.address().equals(board.self().address())) {
                return rank;
            }
            if (!p.address().equals(followed)) {
                rank = Math.min(MAX_STEPS, rank + 1);
            }
        }
        return rank;
    }

    private void claim() {
        if (claiming || board.stopping || board.now < claimAtMs || end < 0) {
            return;
        }
        claiming = true;
        claimAtMs = board.now + CLAIM_RETRY_MS;
        board.log("event=claim offset=" + end + " lost_ms=" + (board.now - lostAtMs) + " store_age_ms="
                + (board.now - readAtMs));
        board.emit(new PoolEffect.Claim(end, board.self()));
    }

    /** Follows the first VM of the zone that answers, or owns the zone if that is this VM. */
    private void goOnAlone() {
        if (board.now < candidateAtMs || board.stopping || board.latestOwnership.isEmpty()) {
            return;
        }
        candidateAtMs = board.now + CANDIDATE_MS;
        List<VmIncarnation> zone = zonePeers();
        VmIncarnation next = zone.get(candidate % zone.size());
        candidate++;
        if (next.address().equals(board.self().address())) {
            ownZone();
        } else {
            followed = next.address();
            zoneOwner = followed;
            board.emit(new PoolEffect.LinkOwner(followed));
        }
    }

    /** Two VMs own the zone: the first candidate goes on with a higher token, any other follows it. */
    private void yieldZone() {
        boolean first = zonePeers().get(0).address().equals(board.self().address());
        board.log("event=zone_contested token=" + board.token + " first=" + first);
        if (first) {
            ownZone();
        } else {
            board.role = OwnerRole.FOLLOWER;
            board.emit(new PoolEffect.PollEndpoints(false));
            candidate = 0;
            candidateAtMs = 0;
            lostAtMs = board.now - ZONE_ALONE_MS;
        }
    }

    private void ownZone() {
        candidate = 0;
        localTokens++;
        long base = board.latestOwnership.get().token();
        long step = 1 + Math.floorMod(board.self().incarnation(), LOCAL_TOKENS) + (long) LOCAL_TOKENS * localTokens;
        become(OwnerRole.ZONE_OWNER, base + step);
    }

    private List<VmIncarnation> zonePeers() {
        List<VmIncarnation> zone = new ArrayList<>();
        String lost = board.latestOwnership.get().owner().address();
        for (VmIncarnation p : peers) {
            if (p.zone().equals(board.self().zone())
                    && !p.address().equals(board.self().address())
                    && !p.address().equals(lost)) {
                zone.add(p);
            }
        }
        zone.add(board.self());
        zone.sort(VmIncarnation.SUCCESSION_ORDER);
        return zone;
    }

    /** Returns whether a heartbeat is due, at most one for each period. */
    boolean tryStartHeartbeat(long periodMs) {
        if (board.now < heartbeatAtMs) {
            return false;
        }
        heartbeatAtMs = board.now + periodMs;
        return true;
    }
}
