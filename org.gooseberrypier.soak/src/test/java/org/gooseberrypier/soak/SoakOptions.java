package org.gooseberrypier.soak;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * What distinguishes runs.
 *
 * @param jar the program
 * @param seed the seed of all random choices
 * @param seconds how long cuts begin, in seconds
 * @param endpoints the number of endpoints
 * @param load the load as a part of the endpoints' capacity
 * @param stretch the factor by which tasks take longer and come less often than those of the site, at the same load
 * @param targetLatencyMs the latency objective of the queue, by which jobs are refused, in milliseconds
 * @param leavings the ways in which callers leave, equally likely
 * @param cuts the kinds of cuts, equally likely: both, in, out, reset, late, and owner, a long
 *     one around the zone of the present owner
 * @param overlapping whether cuts may overlap
 * @param homes the share of callers that live in zones and are cut off with them; the others reach all VMs always
 * @param pauses whether VMs are stopped for 0.1 to 0.4 s again and again
 */
record SoakOptions(
        Path jar,
        long seed,
        int seconds,
        int endpoints,
        double load,
        double stretch,
        long targetLatencyMs,
        List<Leaving> leavings,
        List<String> cuts,
        boolean overlapping,
        double homes,
        boolean pauses) {

    /** Reads the system properties that begin with {@code soak.}. */
    static SoakOptions read(long seed) {
        return new SoakOptions(
                Path.of(text("jar", "../org.gooseberrypier.pgm/target/gooseberrypier.jar"))
                        .toAbsolutePath()
                        .normalize(),
                seed,
                Integer.parseInt(text("seconds", "24")),
                Integer.parseInt(text("endpoints", "12")),
                Double.parseDouble(text("load", "1.2")),
                Double.parseDouble(text("stretch", "1")),
                Long.parseLong(text("target", "30000")),
                Arrays.stream(text("callers", "CLOSE,CLOSE,CLOSE,HALF_CLOSE,SILENT,EARLY_CLOSE,LATE_REQUEST")
                                .split(","))
                        .map(Leaving::valueOf)
                        .toList(),
                List.of(text("cuts", "owner,owner,owner,both,in,out,reset,late").split(",")),
                Boolean.parseBoolean(text("overlapping", "true")),
                Double.parseDouble(text("homes", "0.5")),
                Boolean.parseBoolean(text("pauses", "false")));
    }

    static String text(String name, String standard) {
        return System.getProperty("soak." + name, standard);
    }
}
