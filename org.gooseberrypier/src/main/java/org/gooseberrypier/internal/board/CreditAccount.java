package org.gooseberrypier.internal.board;

/** The running totals of credits that one VM has granted to and received back from another VM for one endpoint. */
public final class CreditAccount {

    private final long session;
    private long granted;
    private long returned;

    /**
     * Creates an empty account.
     *
     * @param session a number that distinguishes this account from earlier ones of the same VMs
     */
    public CreditAccount(long session) {
        this.session = session;
    }

    /**
     * Returns the number that distinguishes this account from earlier ones of the same VMs.
     *
     * @return the session number
     */
    public long session() {
        return session;
    }

    /**
     * Returns the total number of credits granted.
     *
     * @return the number of credits, including those returned
     */
    public long granted() {
        return granted;
    }

    /**
     * Returns the total number of credits returned.
     *
     * @return the number of credits
     */
    public long returned() {
        return returned;
    }

    /**
     * Returns how many credits the borrower holds.
     *
     * @return the number of credits
     */
    public int balance() {
        return (int) (granted - returned);
    }

    /**
     * Raises the total of granted credits; a smaller total comes from an outdated message and is ignored.
     *
     * @param total the new total
     * @return the increase
     */
    public int raiseGranted(long total) {
        int delta = (int) Math.max(0, total - granted);
        granted += delta;
        return delta;
    }

    /**
     * Raises the total of returned credits; a smaller total comes from an outdated message and is ignored.
     *
     * @param total the new total, limited to the total of granted credits
     * @return the increase
     */
    public int raiseReturned(long total) {
        int delta = (int) Math.max(0, Math.min(total, granted) - returned);
        returned += delta;
        return delta;
    }
}
