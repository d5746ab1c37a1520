package org.gooseberrypier.random;

import org.gooseberrypier.lib.VmId;

/** Prints all faults, and the events and effects whose text contains TEXT, if {@code -Drandom.trace=TEXT} is set. */
final class Trace {

    private static final String TEXT = System.getProperty("random.trace");

    private Trace() {}

    static void print(long nowMs, VmId vm, String kind, Object what) {
        if (TEXT != null) {
            String line = String.valueOf(what);
            if (kind.equals("fault") || line.contains(TEXT)) {
                System.out.println("trace ms=" + nowMs + " vm=" + vm + " " + kind + "=" + line);
            }
        }
    }
}
