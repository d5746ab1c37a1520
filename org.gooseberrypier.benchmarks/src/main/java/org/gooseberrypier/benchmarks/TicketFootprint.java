package org.gooseberrypier.benchmarks;

import java.util.ArrayList;
import java.util.List;

import org.gooseberrypier.errors.TicketFormatException;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.ticket.Checkpoint;
import org.gooseberrypier.ticket.CheckpointCodec;
import org.gooseberrypier.ticket.Configuration;

/** Prints the memory that a configuration occupies, for several numbers of endpoints. */
public final class TicketFootprint {

    private static final int COPIES = 20;
    private static final int[] ENDPOINT_COUNTS = {30, 300, 1_000, 5_000};

    private TicketFootprint() {}

    /**
     * Runs the program.
     *
     * @param args not used
     * @throws TicketFormatException never
     */
    public static void main(String[] args) throws TicketFormatException {
        for (int n : ENDPOINT_COUNTS) {
            Payload json = CheckpointCodec.format(new Checkpoint(0, TicketSizeBenchmark.configuration(n)));
            long before = usedBytes();
            List<Configuration> copies = new ArrayList<>();
            for (int i = 0; i < COPIES; i++) {
                copies.add(CheckpointCodec.parse(json).configuration());
            }
            long after = usedBytes();
            System.out.println("endpoints=" + n + " bytes=" + (after - before) / copies.size());
        }
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
