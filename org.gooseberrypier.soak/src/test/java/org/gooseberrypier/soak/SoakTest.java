package org.gooseberrypier.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** No task runs twice at once, whatever is cut off, and fresh jobs complete once the network has healed. */
public class SoakTest {

    private static final int PRINTED_CASES = 3;

    /** Runs one seed after the other; {@code -Dsoak.seed}, {@code -Dsoak.seeds} and {@link SoakOptions} say which and how. */
    @Test
    public void noTaskRunsTwiceAtOnceUnderCuts() throws IOException, InterruptedException {
        long first = Long.parseLong(SoakOptions.text("seed", "1"));
        int seeds = Integer.parseInt(SoakOptions.text("seeds", "1"));
        int cases = 0;
        int unserved = 0;
        for (long seed = first; seed < first + seeds; seed++) {
            SoakOptions options = SoakOptions.read(seed);
            System.out.println(options);
            assertTrue(Files.exists(options.jar()), "the program is not built: " + options.jar());
            try (SoakRun run = new SoakRun(options)) {
                SoakRun.Result result = run.run();
                print(result);
                cases += result.doubleRuns().size();
                unserved += result.freshJobs() - result.freshCompleted();
                if (cases + unserved == 0) {
                    deleteLogs(result.folder());
                }
            }
        }
        assertEquals(cases, 0, "tasks that ran twice at once");
        assertEquals(unserved, 0, "fresh jobs that did not complete after the last cut");
    }

    private static void deleteLogs(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    private static void print(SoakRun.Result result) throws IOException {
        for (RunBook.DoubleRun d : result.doubleRuns()) {
            System.out.println(d.text());
        }
        List<String> jobs = result.doubleRuns().stream()
                .map(RunBook.DoubleRun::job)
                .distinct()
                .limit(PRINTED_CASES)
                .toList();
        for (String job : jobs) {
            printLines(result.folder(), job);
        }
        System.out.println(result.summary());
    }

    /** Prints the lines of all logs that name a job. */
    private static void printLines(Path folder, String job) throws IOException {
        List<Path> logs;
        try (Stream<Path> files = Files.list(folder)) {
            logs = files.filter(f -> f.toString().endsWith(".log")).sorted().toList();
        }
        for (Path log : logs) {
            try (BufferedReader reader = Files.newBufferedReader(log)) {
                reader.lines()
                        .filter(l -> l.matches(".*\\b" + job + "\\b.*"))
                        .forEach(l -> System.out.println(log.getFileName() + ": " + l));
            }
        }
    }
}
