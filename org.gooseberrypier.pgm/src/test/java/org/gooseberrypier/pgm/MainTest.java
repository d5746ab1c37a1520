package org.gooseberrypier.pgm;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class MainTest {

    private static final String SETTINGS =
            """
            {"vm":"tartu-a-1","zone":"tartu-a","callerAddress":"127.0.0.1:0","operatorAddress":"127.0.0.1:0",
             "peerAddress":"127.0.0.1:7003","platformAddress":"127.0.0.1:9"}
            """;

    private final PrintStream out = System.out;
    private final PrintStream err = System.err;
    private final ByteArrayOutputStream text = new ByteArrayOutputStream();

    @BeforeMethod
    public void capture() {
        text.reset();
        PrintStream stream = new PrintStream(text, true, StandardCharsets.UTF_8);
        System.setOut(stream);
        System.setErr(stream);
    }

    @AfterMethod
    public void restore() {
        System.setOut(out);
        System.setErr(err);
    }

    @DataProvider
    public Object[][] words() {
        var rows = new java.util.ArrayList<Object[]>();
        CommandRegistry.standard().words().forEach(w -> rows.add(new Object[] {w}));
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "words")
    public void everyCommandHasHelp(String words) {
        assertEquals(Main.run((words + " --help").split(" ")), ExitCode.OK);
        assertTrue(text().contains("Usage: gooseberrypier " + words), text());
    }

    @Test
    public void helpListsEveryCommand() {
        assertEquals(Main.run("--help"), ExitCode.OK);
        CommandRegistry.standard().words().forEach(w -> assertTrue(text().contains(w), w));
    }

    @Test
    public void aGroupWithoutAVerbListsItsVerbs() {
        assertEquals(Main.run("standin"), ExitCode.USAGE);
        assertTrue(text().contains("standin endpoint"), text());
    }

    @Test
    public void anUnknownCommandIsWrongUsage() {
        assertEquals(Main.run("fly"), ExitCode.USAGE);
        assertTrue(text().contains("no such command: fly"), text());
    }

    @Test
    public void aMissingOptionIsNamed() {
        assertEquals(Main.run("serve"), ExitCode.USAGE);
        assertTrue(text().contains("--settings"), text());
    }

    @Test
    public void aWrongAddressIsNamedWithItsOption() {
        assertEquals(Main.run("standin", "platform", "--listen", "localhost:1"), ExitCode.USAGE);
        assertTrue(text().contains("--listen") && text().contains("localhost:1"), text());
    }

    @Test
    public void settingsCheckNamesAnUnknownKey() throws IOException {
        Path file = Files.createTempFile("settings", ".json");
        Files.writeString(file, SETTINGS.replace("}", ",\"vmm\":\"a\"}"));
        assertEquals(Main.run("settings", "check", file.toString()), ExitCode.USAGE);
        assertTrue(text().contains("vmm"), text());
        Files.delete(file);
    }

    @Test
    public void settingsCheckShowsTheDefaults() throws IOException {
        Path file = Files.createTempFile("settings", ".json");
        Files.writeString(file, SETTINGS);
        assertEquals(Main.run("settings", "check", file.toString()), ExitCode.OK, text());
        assertTrue(text().contains("\"credits\""), text());
        Files.delete(file);
    }

    private String text() {
        return text.toString(StandardCharsets.UTF_8);
    }
}
