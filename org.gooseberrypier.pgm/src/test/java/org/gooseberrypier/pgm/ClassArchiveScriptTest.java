package org.gooseberrypier.pgm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Runs tools/write-class-archive.sh, the last step of the deployment's build, with a fake JVM that fails in many ways. */
public class ClassArchiveScriptTest {

    private static final String SCRIPT = "write-class-archive.sh";
    private static final long TIMEOUT_S = 60;

    private Path root;
    private Path archive;

    @BeforeMethod
    public void createTree() throws IOException {
        root = Files.createTempDirectory("class-archive");
        Files.createDirectories(root.resolve("tools"));
        Files.createDirectories(root.resolve("bin"));
        Path target = Files.createDirectories(root.resolve("org.gooseberrypier.pgm/target"));
        archive = target.resolve("gooseberrypier.jsa");
        Files.copy(Path.of("..", "tools", SCRIPT), root.resolve("tools").resolve(SCRIPT));
    }

    private record Result(int exitCode, String output) {}

    /** Runs the script with a fake JVM of two commands: one for the rehearsal, one for a start with the archive. */
    private Result run(String rehearsal, String start) throws IOException, InterruptedException {
        Path java = root.resolve("bin/java");
        Files.writeString(
                java,
                "#!/usr/bin/env bash\nnew=org.gooseberrypier.pgm/target/gooseberrypier.jsa.new\n"
                        + "case \"$*\" in *ArchiveClassesAtExit*) " + rehearsal + " ;; *) " + start + " ;; esac\n");
        assertTrue(java.toFile().setExecutable(true));
        ProcessBuilder builder = new ProcessBuilder("bash", "tools/" + SCRIPT)
                .directory(root.toFile())
                .redirectErrorStream(true);
        builder.environment().merge("PATH", root.resolve("bin").toString(), (old, bin) -> bin + ":" + old);
        Process process = builder.start();
        String output = new String(process.getInputStream().readAllBytes());
        assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS));
        return new Result(process.exitValue(), output);
    }

    private void assertWarning(Result result, String reason) {
        assertEquals(result.exitCode(), 0, result.output());
        assertTrue(result.output().startsWith("warning: " + reason), result.output());
        assertFalse(Files.exists(archive), "an archive that cannot be used was kept");
    }

    @Test
    public void archiveOfASuccessfulRehearsalIsKept() throws IOException, InterruptedException {
        assertEquals(run("echo classes > $new", "exit 0"), new Result(0, ""));
        assertEquals(Files.readString(archive), "classes\n");
    }

    @Test
    public void failedJobsOfTheRehearsalCostNeitherTheBuildNorTheArchive() throws IOException, InterruptedException {
        assertEquals(run("echo classes > $new; exit 1", "exit 0"), new Result(0, ""));
        assertTrue(Files.exists(archive));
    }

    @Test
    public void rehearsalWithoutArchiveIsAWarning() throws IOException, InterruptedException {
        assertWarning(run("exit 1", "exit 0"), "no archive was written, exit code 1");
    }

    @Test
    public void rehearsalThatCrashesIsAWarning() throws IOException, InterruptedException {
        assertWarning(run("echo part > $new; exit 134", "exit 0"), "the rehearsal ended with exit code 134");
    }

    @Test
    public void archiveThatCrashesTheJvmIsRemoved() throws IOException, InterruptedException {
        assertWarning(
                run("echo part > $new", "exit 134"), "the program does not start with the archive, exit code 134");
    }

    @Test
    public void archiveOfAnEarlierBuildIsNotKeptAfterAFailure() throws IOException, InterruptedException {
        Files.writeString(archive, "old");
        assertWarning(run("exit 1", "exit 0"), "no archive was written, exit code 1");
    }
}
