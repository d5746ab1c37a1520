package org.gooseberrypier.internal.board;

import java.util.LinkedHashMap;
import java.util.Map;

import org.gooseberrypier.lib.JobId;

/** The jobs that this VM runs, and the numbers of its unanswered requests and handovers. */
public final class SubmissionSection {

    private final Map<JobId, Job> jobs = new LinkedHashMap<>();
    private int openRequests;
    private int openHandovers;

    /**
     * Returns the jobs by identity.
     *
     * @return the jobs; only the controller that owns the section may change the map
     */
    public Map<JobId, Job> jobs() {
        return jobs;
    }

    /**
     * Returns how many keyed requests of this VM's callers wait for the answer of the primary.
     *
     * @return the number of requests
     */
    public int openRequests() {
        return openRequests;
    }

    /**
     * Sets how many keyed requests of this VM's callers wait for the answer of the primary.
     *
     * @param value the number of requests
     */
    public void setOpenRequests(int value) {
        openRequests = value;
    }

    /**
     * Returns how many final answers have not been acknowledged by the new primary of their key.
     *
     * @return the number of answers
     */
    public int openHandovers() {
        return openHandovers;
    }

    /**
     * Sets how many final answers have not been acknowledged by the new primary of their key.
     *
     * @param value the number of answers
     */
    public void setOpenHandovers(int value) {
        openHandovers = value;
    }
}
