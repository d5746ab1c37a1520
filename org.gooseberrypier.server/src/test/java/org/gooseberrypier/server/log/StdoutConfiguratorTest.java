package org.gooseberrypier.server.log;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ServiceLoader;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class StdoutConfiguratorTest {

    @AfterMethod
    public void clearProperty() {
        System.clearProperty(StdoutConfigurator.PROPERTY);
    }

    @Test
    public void withoutThePropertyTheConfigurationFilesApply() {
        LoggerContext context = new LoggerContext();
        assertEquals(new StdoutConfigurator().configure(context), Configurator.ExecutionStatus.NEUTRAL);
        assertFalse(context.getLogger("ROOT").iteratorForAppenders().hasNext());
    }

    @Test
    public void linesAreWrittenToStandardOutputThroughTheBoundedQueue() {
        System.setProperty(StdoutConfigurator.PROPERTY, "true");
        LoggerContext context = new LoggerContext();
        context.setMDCAdapter(new LogbackMDCAdapter());
        PrintStream original = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            assertEquals(
                    new StdoutConfigurator().configure(context),
                    Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY);
            assertTrue(context.getLogger("ROOT").getAppender("bounded") instanceof BoundedAppender);
            context.getLogger("org.gooseberrypier.Example").info("event=example key={}", 1);
            context.getLogger("org.gooseberrypier.Example").debug("event=hidden");
            context.stop();
        } finally {
            System.setOut(original);
        }
        String text = out.toString(StandardCharsets.UTF_8);
        assertTrue(
                text.matches("time=\\d\\d:\\d\\d:\\d\\d\\.\\d{3} level=INFO logger=Example event=example key=1\\R"),
                text);
    }

    @Test
    public void configuratorIsRegistered() {
        long found = ServiceLoader.load(Configurator.class).stream()
                .filter(p -> p.type() == StdoutConfigurator.class)
                .count();
        assertEquals(found, 1);
    }
}
