package org.gooseberrypier.pool.model;

import java.util.ArrayList;
import java.util.List;

/**
 * What the surroundings do in one step.
 *
 * @param kind the kind
 * @param fault the fault that begins, if the kind says so
 * @param steps how long the fault lasts
 */
record Action(Kind kind, Fault fault, int steps) {

    /** Kind of an action. */
    enum Kind {
        NONE,
        CUT,
        HEAL,
        LEAVE,
        FAULT
    }

    private static final Action NONE = new Action(Kind.NONE, null, 0);

    /** Returns all actions that are possible in a state. */
    static List<Action> of(World w) {
        List<Action> all = new ArrayList<>();
        all.add(NONE);
        if (w.mayBeCut()) {
            all.add(new Action(Kind.CUT, null, 0));
        }
        if (w.mayHeal()) {
            all.add(new Action(Kind.HEAL, null, 0));
        }
        if (w.mayLeave()) {
            all.add(new Action(Kind.LEAVE, null, 0));
        }
        for (Fault f : w.possibleFaults()) {
            for (int n : f.steps) {
                all.add(new Action(Kind.FAULT, f, n));
            }
        }
        return all;
    }

    @Override
    public String toString() {
        return kind == Kind.FAULT ? fault + " for " + steps : kind.toString();
    }
}
