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
 * Elects the VM that owns the pool.
 *
 * <p>The latest ownership record in the shared store names the owner, and its offset determines the fencing token. A VM
 * that has lost its link to the owner claims the pool: it tries to append the next record. If the store cannot be reached
 * either, or names an owner that stays unreachable, one VM of the availability zone owns the endpoints of the zone. Its
 * token lies between the tokens of two records, so that any later record supersedes it.
 */
final class OwnershipController {

    /**
     * Delay before this VM claims the pool from an owner to which it never had a link, in milliseconds. Such an owner wrote
     * its record recently and is more likely to be alive behind a network partition than to have failed. With a shorter
     * delay both sides of the partition would take the pool from each other; this delay outlasts most partitions.
     */
    private static final long NEVER_LINKED_CLAIM_DELAY_MS = 6_000;

    /** Delay before a claim after the link to the owner was lost, in milliseconds; a live owner is linked again by then. */
    private static final long LINK_LOST_CLAIM_DELAY_MS = 60;

    /** Interval between the claims of consecutive successors, in milliseconds; it covers the round trip to the store. */
    private static final long CLAIM_STEP_MS = 40;

    /** Delay before a claim is repeated that failed or got no answer, in milliseconds. */
    private static final long CLAIM_RETRY_DELAY_MS = 250;

    /** Time without the owner and without the store after which a zone elects a zone owner, in milliseconds. */
    private static final long ZONE_WITHOUT_STORE_TIMEOUT_MS = 250;

    /** Time after which a zone that reaches the store, but not the owner, elects a zone owner, in milliseconds. */
    private static final long ZONE_WITHOUT_OWNER_TIMEOUT_MS = 2_500;

    /** Time after which a VM of an isolated zone tries the next candidate for zone owner, in milliseconds. */
    private static final long CANDIDATE_TIMEOUT_MS = 200;

    /** Time after a pause of this VM by which links to VMs that have failed are detected as silent, in milliseconds. */
    private static final long UNCONFIRMED_TIMEOUT_MS = 500;

    /** Time without an answer after which this VM treats the store as unreachable, in milliseconds. */
    private static final long STORE_TIMEOUT_MS = 600;

    /** VMs beyond this rank claim at the same time: more steps would take longer than a conflict at the store. */
    private static final int MAX_CLAIM_RANK = 8;

    /** Number of VMs of a zone that have distinct tokens within one round of zone tokens. */
    private static final int ZONE_TOKENS_PER_ROUND = 16;

    /**
     * An owner that was replaced in less than this time, in milliseconds, may have left runs that nobody waits for. Callers
     * resubmit a job 1.3 s after its VM was lost; the owner at that time takes up to 0.5 s to become active and stops these
     * runs 0.5 s later.
     */
    private static final long BRIEF_OWNERSHIP_MS = 2_300;

    /**
     * Minimum time for which a successor must have been linked, and the owner must have owned the pool, before ownership is
     * offered, in milliseconds. It excludes VMs that have just started or take part in a rolling restart.
     */
    static final long MIN_STABLE_MS = 4_000;

    /** Ownership is offered only to a VM that is larger by more than this factor, since a new owner delays waiting jobs. */
    private static final double MIN_OFFER_SIZE_RATIO = 1.5;

    /**
     * Upper bound of the additional claim delay of small VMs, in milliseconds; it equals the timeout of a silent link. After
     * a restart of all VMs the larger ones claim first: a VM waits this time multiplied by the fraction by which it is
     * smaller than the last owner.
     */
    private static final long MAX_SMALL_VM_DELAY_MS = 400;

    private final PoolBoard board;
    /** When this VM learned of the latest ownership record, in milliseconds. */
    private long latestSeenAtMs = Long.MIN_VALUE / 2;

    private List<VmIncarnation> knownPeers = List.of();
    private long nextOffset = -1;
    private long storeAnsweredAtMs = Long.MIN_VALUE / 2;
    private long ownerLostAtMs;
    private boolean linkRefused;
    private long linkRefusedAtMs;
    private boolean wasLinked;
    private long nextClaimAtMs;
    private boolean claiming;
    private long nextOfferAtMs;
    private int candidateIndex;
    private long nextCandidateAtMs;
    private String followedAddress = "";
    private String zoneOwnerAddress = "";
    private long nextHeartbeatAtMs;
    private int zoneTokenRound;
    /** The number of the latest {@link PoolEffect.LinkOwner}. */
    private long link;

    OwnershipController(PoolBoard board) {
        this.board = board;
        this.ownerLostAtMs = board.now;
    }

    void onOwnershipRead(PoolEvent.OwnershipRead event) {
        storeAnsweredAtMs = board.now;
        nextOffset = event.nextOffset();
        if (board.unconfirmedSinceMs > 0 && event.requestedAtMs() >= board.unconfirmedSinceMs) {
            board.unconfirmedSinceMs = 0;
        }
        Optional<Ownership> newest = event.newest();
        if (board.role == OwnerRole.OWNER && newest.isPresent() && newest.get().token() == board.token) {
            board.ownershipConfirmedAtMs = Math.max(board.ownershipConfirmedAtMs, event.requestedAtMs());
        }
        boolean changed = newest.isPresent()
                && (board.latestOwnership.isEmpty()
                        || newest.get().offset() > board.latestOwnership.get().offset());
        if (changed) {
            board.latestOwnership = newest;
            apply(newest.get());
            latestSeenAtMs = board.now;
        } else if (board.latestOwnership.isPresent()) {
            reclaimAfterZoneToken(board.latestOwnership.get());
        }
    }

    void onClaimEnded(PoolEvent.ClaimEnded event) {
        claiming = false;
        if (event.result() instanceof ClaimResult.Accepted a) {
            Ownership mine = new Ownership(a.offset(), event.owner());
            if (board.latestOwnership.isEmpty() || board.latestOwnership.get().offset() < mine.offset()) {
                board.latestOwnership = Optional.of(mine);
                nextOffset = mine.offset() + 1;
                apply(mine);
                latestSeenAtMs = board.now;
            }
        } else {
            board.log("event=claim_failed result=" + event.result().getClass().getSimpleName());
            nextClaimAtMs = board.now + CLAIM_RETRY_DELAY_MS;
            board.emit(new PoolEffect.ReadOwnership());
        }
    }

    private void apply(Ownership ownership) {
        boolean mine = ownership.owner().equals(board.self());
        board.log("event=owner_named token=" + ownership.token() + " owner="
                + ownership.owner().address() + " mine=" + mine);
        if (mine) {
            becomeOwner(OwnerRole.OWNER, ownership.token());
        } else if (board.role == OwnerRole.ZONE_OWNER) {
            openLink(ownership.owner().address());
        } else if (!followsZoneOwner()
                && !board.linkedOwner.equals(ownership.owner().address())) {
            follow(ownership.owner().address());
        }
    }

    private boolean followsZoneOwner() {
        return !board.linkedOwner.isEmpty() && zoneOwnerAddress.equals(board.linkedOwner);
    }

    /** Claims the pool again if a zone token, which no record backs, has been in use. */
    private void reclaimAfterZoneToken(Ownership ownership) {
        boolean mine = ownership.owner().equals(board.self());
        boolean superseded = board.role == OwnerRole.OWNER && board.fenced;
        if (superseded || mine && board.role == OwnerRole.ZONE_OWNER) {
            claim();
        }
    }

    private void becomeOwner(OwnerRole role, long token) {
        boolean wasOwner = board.isOwner();
        board.previousOwnerWasBrief =
                wasOwner ? board.previousOwnerWasBrief : board.now - latestSeenAtMs < BRIEF_OWNERSHIP_MS;
        board.role = role;
        board.token = token;
        board.ownerSinceMs = board.now;
        board.linkedOwner = "";
        board.fenced = false;
        followedAddress = "";
        zoneOwnerAddress = "";
        nextHeartbeatAtMs = 0;
        // A zone owner keeps trying to reach the owner of the pool.
        String poolOwner = role == OwnerRole.ZONE_OWNER ? ownerAddress() : "";
        openLink(poolOwner);
        if (!wasOwner) {
            board.emit(new PoolEffect.PollEndpoints(true));
        }
        board.log("event=owner_began role=" + role + " token=" + token);
    }

    /** Returns the address of the owner in the latest record, or an empty text if it is an earlier incarnation of this VM. */
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
        followedAddress = address;
        ownerLostAtMs = board.now;
        wasLinked = false;
        // An earlier incarnation of this VM cannot answer.
        setLinkRefused(address.equals(board.self().address()));
        openLink(linkRefused ? "" : address);
    }

    /** Closes the link to the owner and opens one to the given address, or none if it is empty. */
    private void openLink(String address) {
        link++;
        board.emit(new PoolEffect.LinkOwner(address, link));
    }

    /** Returns whether a link to the owner has not been closed; events of one that has been may be under way. */
    boolean isCurrentLink(long number) {
        return number == link;
    }

    void onOwnerLinkUp(PoolEvent.OwnerLinkUp event) {
        if (!isCurrentLink(event.link())) {
            return;
        }
        if (board.role == OwnerRole.ZONE_OWNER && event.peer().equals(ownerAddress())) {
            board.log("event=owner_ended token=" + board.token + " successor=" + event.peer());
            board.emit(new PoolEffect.PollEndpoints(false));
            board.role = OwnerRole.FOLLOWER;
            followedAddress = event.peer();
        }
        if (event.peer().equals(followedAddress) && !board.isOwner()) {
            board.linkedOwner = followedAddress;
            wasLinked = true;
            board.log("event=owner_linked owner=" + followedAddress);
        }
    }

    void onOwnerLinkDown(PoolEvent.OwnerLinkDown event) {
        if (!isCurrentLink(event.link()) || !event.peer().equals(followedAddress) || board.isOwner()) {
            return;
        }
        if (!board.linkedOwner.isEmpty()) {
            ownerLostAtMs = board.now;
            board.linkedOwner = "";
            board.warn("event=owner_lost owner=" + followedAddress);
            if (followedAddress.equals(zoneOwnerAddress)) {
                zoneOwnerAddress = "";
                board.latestOwnership.ifPresent(o -> follow(o.owner().address()));
                return;
            }
        }
        setLinkRefused(event.refused());
    }

    void onOwnerMessage(PoolMessage.ToEntry message) {
        if (message instanceof PoolMessage.Heartbeat h && !h.successors().isEmpty()) {
            knownPeers = h.successors();
        } else if (message instanceof PoolMessage.NotOwner) {
            handleNotOwner();
        }
    }

    private void handleNotOwner() {
        board.linkedOwner = "";
        boolean sameCandidate = followedAddress.equals(zoneOwnerAddress);
        zoneOwnerAddress = "";
        if (sameCandidate) {
            // The candidate lost the owner slightly later than this VM and may own the zone soon.
            candidateIndex = 0;
            return;
        }
        board.latestOwnership.ifPresent(o -> follow(o.owner().address()));
        board.emit(new PoolEffect.ReadOwnership());
    }

    /**
     * Suspends placement after a pause of this VM, until the store confirms the ownership or links to VMs that have failed
     * are detected as silent.
     */
    void onPauseDetected() {
        board.unconfirmedSinceMs = board.now;
        if (board.isOwner()) {
            board.warn("event=woke token=" + board.token);
            board.emit(new PoolEffect.ReadOwnership());
        }
    }

    /**
     * Excludes time in which this VM received nothing from the silence of the store and of the owner. Load pattern: VMs that
     * start or lack processor time, while the owner and the store answer in time.
     */
    void onLoopBlocked(long blockedMs) {
        storeAnsweredAtMs = Math.min(board.now, storeAnsweredAtMs + blockedMs);
        ownerLostAtMs = Math.min(board.now, ownerLostAtMs + blockedMs);
    }

    private void expireUnconfirmed() {
        if (board.unconfirmedSinceMs > 0 && board.now - board.unconfirmedSinceMs >= UNCONFIRMED_TIMEOUT_MS) {
            board.unconfirmedSinceMs = 0;
        }
    }

    /** Handles an endpoint that refused the token: a newer owner was named, or the endpoint's zone had a zone owner. */
    void onFenced() {
        if (board.role == OwnerRole.ZONE_OWNER) {
            resolveZoneConflict();
        } else if (!board.fenced) {
            board.fenced = true;
            board.warn("event=token_refused token=" + board.token);
            board.emit(new PoolEffect.ReadOwnership());
        }
    }

    /** Offers the pool to a much larger VM. Load pattern: VMs of unequal size, of which a small one claimed first. */
    void offerOwnership(List<VmIncarnation> stableSuccessors) {
        boolean larger = !stableSuccessors.isEmpty()
                && stableSuccessors.get(0).milliCores()
                        > MIN_OFFER_SIZE_RATIO * board.self().milliCores();
        boolean ownerStable = board.role == OwnerRole.OWNER && board.now - board.ownerSinceMs >= MIN_STABLE_MS;
        if (larger && ownerStable && !claiming && !board.stopping && board.now >= nextOfferAtMs && nextOffset >= 0) {
            claiming = true;
            nextOfferAtMs = board.now + MIN_STABLE_MS;
            board.log("event=offer_ownership to=" + stableSuccessors.get(0).address() + " milli_cores="
                    + stableSuccessors.get(0).milliCores());
            board.emit(new PoolEffect.Claim(nextOffset, stableSuccessors.get(0)));
        }
    }

    /** Names the first successor as owner before this VM stops, so that it need not detect the loss first. */
    void handOverOwnership(List<VmIncarnation> successors) {
        board.stopping = true;
        if (board.role == OwnerRole.OWNER && !successors.isEmpty() && nextOffset >= 0) {
            board.log("event=hand_over successor=" + successors.get(0).address());
            board.emit(new PoolEffect.Claim(nextOffset, successors.get(0)));
        }
    }

    void onTick() {
        expireUnconfirmed();
        if (board.isOwner()) {
            return;
        }
        if (!board.linkedOwner.isEmpty()) {
            ownerLostAtMs = board.now;
            return;
        }
        long ownerLostMs = board.now - ownerLostAtMs;
        boolean storeAnswers = board.now - storeAnsweredAtMs < STORE_TIMEOUT_MS;
        if (storeAnswers && ownerLostMs >= claimDelayMs()) {
            claim();
        } else if (ownerLostMs >= (storeAnswers ? ZONE_WITHOUT_OWNER_TIMEOUT_MS : ZONE_WITHOUT_STORE_TIMEOUT_MS)) {
            tryZoneCandidate();
        }
    }

    /** Records whether the owner's VM refuses links; the claim delays of the successors count from the first refusal. */
    private void setLinkRefused(boolean refused) {
        if (refused && !linkRefused) {
            linkRefusedAtMs = board.now;
        }
        linkRefused = refused;
    }

    private long claimDelayMs() {
        if (board.latestOwnership.isEmpty()) {
            return (Math.floorMod(board.self().incarnation(), MAX_CLAIM_RANK)) * CLAIM_STEP_MS;
        }
        long linkDelayMs = wasLinked ? LINK_LOST_CLAIM_DELAY_MS : NEVER_LINKED_CLAIM_DELAY_MS;
        long baseDelayMs = linkRefused ? Math.min(linkDelayMs, linkRefusedAtMs - ownerLostAtMs) : linkDelayMs;
        return baseDelayMs + claimRank() * CLAIM_STEP_MS + (knownPeers.isEmpty() ? smallVmDelayMs() : 0);
    }

    /** Returns the additional claim delay of a VM that knows no other VM yet and is smaller than the last owner. */
    private long smallVmDelayMs() {
        double share = (double) board.self().milliCores()
                / board.latestOwnership.get().owner().milliCores();
        return share >= 1 ? 0 : (long) (MAX_SMALL_VM_DELAY_MS * (1 - share));
    }

    private int claimRank() {
        int rank = 0;
        for (VmIncarnation p : knownPeers) {
            if (p.address().equals(board.self().address())) {
                return rank;
            }
            if (!p.address().equals(followedAddress)) {
                rank = Math.min(MAX_CLAIM_RANK, rank + 1);
            }
        }
        return rank;
    }

    private void claim() {
        if (claiming || board.stopping || board.now < nextClaimAtMs || nextOffset < 0) {
            return;
        }
        claiming = true;
        nextClaimAtMs = board.now + CLAIM_RETRY_DELAY_MS;
        board.log("event=claim offset=" + nextOffset + " lost_ms=" + (board.now - ownerLostAtMs) + " store_age_ms="
                + (board.now - storeAnsweredAtMs));
        board.emit(new PoolEffect.Claim(nextOffset, board.self()));
    }

    /** Tries the candidates of the zone in order: links to another VM, or becomes zone owner if it is this VM's turn. */
    private void tryZoneCandidate() {
        if (board.now < nextCandidateAtMs || board.stopping || board.latestOwnership.isEmpty()) {
            return;
        }
        nextCandidateAtMs = board.now + CANDIDATE_TIMEOUT_MS;
        List<VmIncarnation> zone = zonePeers();
        VmIncarnation next = zone.get(candidateIndex % zone.size());
        candidateIndex++;
        if (next.address().equals(board.self().address())) {
            becomeZoneOwner();
        } else {
            followedAddress = next.address();
            zoneOwnerAddress = followedAddress;
            openLink(followedAddress);
        }
    }

    /** Resolves a conflict of two zone owners: the first candidate takes a higher token, any other VM follows it. */
    private void resolveZoneConflict() {
        boolean first = zonePeers().get(0).address().equals(board.self().address());
        board.log("event=zone_contested token=" + board.token + " first=" + first);
        if (first) {
            becomeZoneOwner();
        } else {
            board.role = OwnerRole.FOLLOWER;
            board.emit(new PoolEffect.PollEndpoints(false));
            candidateIndex = 0;
            nextCandidateAtMs = 0;
            ownerLostAtMs = board.now - ZONE_WITHOUT_OWNER_TIMEOUT_MS;
        }
    }

    private void becomeZoneOwner() {
        candidateIndex = 0;
        zoneTokenRound++;
        long base = board.latestOwnership.get().token();
        long step = 1
                + Math.floorMod(board.self().incarnation(), ZONE_TOKENS_PER_ROUND)
                + (long) ZONE_TOKENS_PER_ROUND * zoneTokenRound;
        becomeOwner(OwnerRole.ZONE_OWNER, base + step);
    }

    private List<VmIncarnation> zonePeers() {
        List<VmIncarnation> zone = new ArrayList<>();
        String lost = board.latestOwnership.get().owner().address();
        for (VmIncarnation p : knownPeers) {
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

    /** Returns whether a heartbeat is due; if so, schedules the next one after the period. */
    boolean tryStartHeartbeat(long periodMs) {
        if (board.now < nextHeartbeatAtMs) {
            return false;
        }
        nextHeartbeatAtMs = board.now + periodMs;
        return true;
    }
}
