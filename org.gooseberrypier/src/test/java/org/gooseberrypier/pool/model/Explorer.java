package org.gooseberrypier.pool.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Explores all behaviours of a scenario, step by step, until the property is broken or the last step is reached. */
final class Explorer {

    private Explorer() {}

    /**
     * Result of an exploration.
     *
     * @param states the number of different states
     * @param trace the shortest behaviour that breaks the property, one line a step; empty if there is none
     */
    record Result(long states, List<String> trace) {}

    private record Node(World world, Node before, String action) {}

    static Result explore(Scenario scenario) {
        List<Node> layer = List.of(new Node(new World(scenario), null, "start"));
        long states = 1;
        for (int i = 0; i < scenario.steps(); i++) {
            List<Node> next = new ArrayList<>();
            Set<String> seen = new HashSet<>();
            for (Node n : layer) {
                for (Action a : Action.of(n.world())) {
                    World w = n.world().after(a);
                    if (!w.violation().isEmpty()) {
                        return new Result(states + next.size(), trace(new Node(w, n, a.toString()), w.violation()));
                    }
                    if (!w.isOver() && seen.add(w.key())) {
                        next.add(new Node(w, n, a.toString()));
                    }
                }
            }
            layer = next;
            states += next.size();
        }
        return new Result(states, List.of());
    }

    private static List<String> trace(Node last, String violation) {
        Deque<String> lines = new ArrayDeque<>();
        lines.add(violation);
        for (Node n = last; n != null; n = n.before()) {
            lines.addFirst(n.world() + " <- " + n.action());
        }
        return List.copyOf(lines);
    }
}
