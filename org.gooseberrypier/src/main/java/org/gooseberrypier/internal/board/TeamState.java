package org.gooseberrypier.internal.board;

import org.gooseberrypier.lib.TeamId;

/** The waiting and running tasks of one team on this VM, and the limits of the team on this VM. */
public final class TeamState {

    private final TeamId team;
    private int waiting;
    private int running;
    private int weight = 1;
    private int maxRunning = Integer.MAX_VALUE;
    private int maxQueued = Integer.MAX_VALUE;

    /**
     * Creates the state of a team without limits.
     *
     * @param team the team
     */
    public TeamState(TeamId team) {
        this.team = team;
    }

    /**
     * Returns the team.
     *
     * @return the team
     */
    public TeamId team() {
        return team;
    }

    /**
     * Returns how many tasks of the team wait on this VM.
     *
     * @return the number of tasks
     */
    public int waiting() {
        return waiting;
    }

    /**
     * Changes how many tasks of the team wait on this VM.
     *
     * @param delta the change
     */
    public void addWaiting(int delta) {
        waiting += delta;
    }

    /**
     * Returns how many tasks that this VM has started for the team are running.
     *
     * @return the number of tasks
     */
    public int running() {
        return running;
    }

    /**
     * Changes how many tasks that this VM has started for the team are running.
     *
     * @param delta the change
     */
    public void addRunning(int delta) {
        running += delta;
    }

    /**
     * Returns the weight, which is the share of the slots under overload relative to the other teams.
     *
     * @return the weight, at least 1
     */
    public int weight() {
        return weight;
    }

    /**
     * Returns how many tasks this VM may run for the team concurrently.
     *
     * @return this VM's share of the team's quota
     */
    public int maxRunning() {
        return maxRunning;
    }

    /**
     * Returns how many tasks of the team may wait on this VM.
     *
     * @return the number of tasks
     */
    public int maxQueued() {
        return maxQueued;
    }

    /**
     * Sets the limits of the team on this VM.
     *
     * @param newWeight the weight
     * @param newMaxRunning how many tasks this VM may run for the team concurrently
     * @param newMaxQueued how many tasks of the team may wait on this VM
     */
    public void setLimits(int newWeight, int newMaxRunning, int newMaxQueued) {
        weight = Math.max(1, newWeight);
        maxRunning = newMaxRunning;
        maxQueued = newMaxQueued;
    }

    /**
     * Tells whether another task of the team may run.
     *
     * @return whether this VM's share of the quota is not exhausted
     */
    public boolean mayRun() {
        return running < maxRunning;
    }
}
