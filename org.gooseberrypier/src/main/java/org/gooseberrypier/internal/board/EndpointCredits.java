package org.gooseberrypier.internal.board;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;

/**
 * The credits for the slots of one endpoint: their owner, the credits that this VM has granted as the owner, and those
 * that it has borrowed.
 *
 * <p>Owner and borrower keep running totals, so that lost, duplicated and reordered messages cause no errors.
 */
public final class EndpointCredits {

    private final Map<VmId, CreditAccount> granted = new LinkedHashMap<>();
    private CreditAccount borrowed = new CreditAccount(0);
    private VmId owner;
    private Member lender;
    private long ownerEffectiveAtMs;
    private int minIdle;
    private int grantedSlots;

    /**
     * Returns the VM that allocates the slots.
     *
     * @return the owner, empty while no VM may allocate them
     */
    public Optional<VmId> owner() {
        return Optional.ofNullable(owner);
    }

    /**
     * Changes the owner and discards all accounts.
     *
     * @param value the new owner, null for none
     * @param effectiveAtMs when the new owner may start to use more than a static share, in milliseconds since the
     *     epoch
     */
    public void setOwner(VmId value, long effectiveAtMs) {
        owner = value;
        ownerEffectiveAtMs = effectiveAtMs;
        granted.clear();
        grantedSlots = 0;
        setLender(null, 0);
    }

    /**
     * Returns when the owner may start to use more than a static share of the slots.
     *
     * @return milliseconds since the epoch
     */
    public long ownerEffectiveAtMs() {
        return ownerEffectiveAtMs;
    }

    /**
     * Returns the accounts of the borrowers, if this VM is the owner.
     *
     * @return the accounts by borrower; only the controller that owns the section may change them
     */
    public Map<VmId, CreditAccount> granted() {
        return granted;
    }

    /**
     * Returns how many slots are granted to borrowers.
     *
     * @return the number of slots
     */
    public int grantedSlots() {
        return grantedSlots;
    }

    /**
     * Changes the number of slots that are granted to borrowers.
     *
     * @param delta the change, negative for returned slots
     */
    public void addGrantedSlots(int delta) {
        grantedSlots += delta;
    }

    /**
     * Sets the lender and starts an empty account for the credits borrowed from it.
     *
     * @param member the owner with its incarnation, null for none
     * @param session the session number of the account
     */
    public void setLender(Member member, long session) {
        lender = member;
        borrowed = new CreditAccount(session);
        minIdle = 0;
    }

    /**
     * Returns the member from which the credits are borrowed.
     *
     * @return the lender, empty if there is none
     */
    public Optional<Member> lender() {
        return Optional.ofNullable(lender);
    }

    /**
     * Returns the account of the credits that this VM has borrowed from the owner.
     *
     * @return the account
     */
    public CreditAccount borrowed() {
        return borrowed;
    }

    /**
     * Returns the minimum number of idle credits since the last check for unused credits.
     *
     * @return the number of credits
     */
    public int minIdle() {
        return minIdle;
    }

    /**
     * Sets the minimum number of idle credits.
     *
     * @param value the number of credits
     */
    public void setMinIdle(int value) {
        minIdle = value;
    }
}
