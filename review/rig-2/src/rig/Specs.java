package rig;

/** The {@code spec} of a task tells the stand-in minion how long it works and how much of a core it takes. */
final class Specs {

    record Spec(long worksMs, long cpu) {}

    private Specs() {}

    static String of(long worksMs, long cpu) {
        return worksMs + " ms on " + cpu;
    }

    static Spec parse(String spec) {
        String[] words = spec.split(" ");
        return new Spec(Long.parseLong(words[0]), Long.parseLong(words[3]));
    }
}
