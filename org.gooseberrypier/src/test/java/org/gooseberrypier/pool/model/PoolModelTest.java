package org.gooseberrypier.pool.model;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

import org.testng.annotations.Test;

/** tmp. */
public class PoolModelTest {

    @Test
    public void survey() {
        for (Rules r : List.of(Rules.PRESENT, Rules.BOUND_ALONE, Rules.BOUNDED)) {
            for (boolean old : new boolean[] {false, true}) {
                for (int second = 1; second <= 2; second++) {
                    if (old && second == 1) {
                        continue;
                    }
                    for (int deadline : new int[] {10, 60}) {
                        report(new Scenario(r, Set.of(), 0, old, second, deadline, 0, 0, 3, true, 32));
                        report(new Scenario(r, Set.of(), 0, old, second, deadline, 2, 0, 3, true, 32));
                        for (Fault f : Fault.values()) {
                            report(new Scenario(r, EnumSet.of(f), 1, old, second, deadline, 0, 0, 3, true, 32));
                        }
                    }
                }
            }
        }
    }

    @Test
    public void pairs() {
        for (Rules r : List.of(Rules.PRESENT, Rules.BOUNDED, Rules.BOUND_ALONE)) {
            for (boolean old : new boolean[] {false, true}) {
                for (int deadline : new int[] {60, 10}) {
                    for (Fault f : Fault.values()) {
                        for (Fault g : Fault.values()) {
                            if (f.compareTo(g) <= 0 && f != Fault.LEFT_UNSEEN && g != Fault.LEFT_UNSEEN) {
                                report(new Scenario(
                                        r,
                                        EnumSet.of(f, g),
                                        2,
                                        old,
                                        old ? 2 : 1,
                                        deadline,
                                        0,
                                        0,
                                        0, false, 36));
                            }
                        }
                    }
                }
            }
        }
    }

    @Test
    public void traces() {
        String[] sets = System.getProperty("sets").split(";");
        for (String set : sets) {
            Set<Fault> f = EnumSet.noneOf(Fault.class);
            for (String n : set.split(",")) {
                f.add(Fault.valueOf(n));
            }
            boolean old = Boolean.getBoolean("old");
            Rules r = System.getProperty("rules", "p").equals("p") ? Rules.PRESENT : Rules.BOUNDED;
            report(new Scenario(
                    r, f, 2, old, old ? 2 : 1, Integer.getInteger("deadline", 60), 0, 0, 0, false, 36));
        }
    }

    @Test
    public void late() {
        for (Rules r : List.of(Rules.PRESENT, Rules.BOUNDED)) {
            for (boolean old : new boolean[] {false, true}) {
                for (int late : new int[] {1, 2, 4, 8, 11, 12, 13}) {
                    for (Fault f : List.of(Fault.STOP_LOST, Fault.STREAM_LOST, Fault.STALL_TO_OWNER)) {
                        report(new Scenario(
                                r, EnumSet.of(f), 1, old, old ? 2 : 1, 10, late, 0, old ? 10 : 0, false, 36));
                    }
                }
            }
        }
    }

    @Test
    public void deep() {
        for (boolean old : new boolean[] {false, true}) {
            for (int deadline : new int[] {10, 60}) {
                for (Rules r : List.of(
                        new Rules("no bound", false, true, true, true),
                        new Rules("ack first", true, false, true, true),
                        new Rules("no withdrawal after answer", true, true, false, true),
                        new Rules("any stream", true, true, true, false))) {
                    for (Set<Fault> f : List.of(
                            EnumSet.of(Fault.TICKS_SKIPPED, Fault.STOP_LOST),
                            EnumSet.of(Fault.STREAM_LOST, Fault.CORE_LATE),
                            EnumSet.of(Fault.STREAM_LOST, Fault.STALL_TO_OWNER),
                            EnumSet.of(Fault.STALL_TO_ENTRY, Fault.CORE_LATE))) {
                        report(new Scenario(r, f, 2, old, old ? 2 : 1, deadline, 0, 0, 0, false, 36));
                    }
                }
            }
        }
        for (boolean old : new boolean[] {false, true}) {
            report(new Scenario(
                    Rules.BOUNDED,
                    EnumSet.of(Fault.STREAM_LOST, Fault.STALL_TO_OWNER, Fault.STALL_TO_ENTRY, Fault.CORE_LATE),
                    3, old, old ? 2 : 1, 10, 0, 0, 0, false, 36));
        }
    }

    private static void report(Scenario s) {
        long t = System.nanoTime();
        Explorer.Result result = Explorer.explore(s);
        System.out.println((result.trace().isEmpty() ? "HOLDS " : "BREAKS") + " "
                + s.rules().name() + " " + s.faults()
                + " entryOld=" + s.entryWithOldOwner() + " second=" + s.secondOwner() + " deadline=" + s.deadlineStep()
                + " room=" + s.firstRoomStep() + " late=" + s.lateReadSteps() + " states=" + result.states() + " ms="
                + (System.nanoTime() - t) / 1_000_000);
        if (Boolean.getBoolean("trace")) {
            result.trace().forEach(System.out::println);
        }
    }
}
