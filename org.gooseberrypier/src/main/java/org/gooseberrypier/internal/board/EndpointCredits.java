package org.gooseberrypier.internal.board;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;

/**
 * The credits of one endpoint: who counts them, what this VM granted as the owner, and what it holds as a borrower.
 *
 * <p>Both sides keep running totals, so that a message that is lost, doubled or out of order does no harm.
 */
public final class EndpointCredits {

    private final Map<VmId, CreditAccount> granted = new LinkedHashMap<>();
    private CreditAccount held = new CreditAccount(0);
    private VmId owner;
    private Member lender;
    private long settledAtMs;
    private int minIdle;
    private int grantedSlots;

    /**
     * Returns the VM that counts the slots.
     *
     * @return the owner, empty while no VM may count them
     */
    public Optional<VmId> owner() {
        return Optional.ofNullable(owner);
    }

    /**
     * Changes the owner and forgets all accounts.
     *
     * @param value the new owner, null for none
     * @param settled when the new owner may use more than a static share, in milliseconds since the epoch
     */
    public void setOwner(VmId value, long settled) {
        owner = value;
        settledAtMs = settled;
        granted.clear();
        grantedSlots = 0;
        setLender(null, 0);
    }

    /**
     * Returns when the owner may use more than a static share.
     *
     * @return milliseconds since the epoch
     */
    public long ownerEffectiveAtMs() {
        return settledAtMs;
    }

    /**
     * Returns the accounts of the borrowers at the owner.
     *
     * @return the accounts, to be changed by the owner of the section only
     */
    public Map<VmId, CreditAccount> granted() {
        return granted;
    }

    /**
     * Returns how many slots are with borrowers.
     *
     * @return the number of slots
     */
    public int grantedSlots() {
        return grantedSlots;
    }

    /**
     * Notes that slots went to or came from a borrower.
     *
     * @param delta the change
     */
    public void addGrantedSlots(int delta) {
        grantedSlots += delta;
    }

    /**
     * Starts an empty account at a lender.
     *
     * @param member the owner's process, null for none
     * @param session the number of the account
     */
    public void setLender(Member member, long session) {
        lender = member;
        held = new CreditAccount(session);
        minIdle = 0;
    }

    /**
     * Returns the process that granted what is held.
     *
     * @return the lender, if there is one
     */
    public Optional<Member> lender() {
        return Optional.ofNullable(lender);
    }

    /**
     * Returns the account of this VM at the owner.
     *
     * @return the account
     */
    public CreditAccount borrowed() {
        return held;
    }

    /**
     * Returns the fewest credits that were idle since the last look.
     *
     * @return the number of credits
     */
    public int minIdle() {
        return minIdle;
    }

    /**
     * Sets the fewest credits that were idle.
     *
     * @param value the number of credits
     */
    public void setMinIdle(int value) {
        minIdle = value;
    }
}
