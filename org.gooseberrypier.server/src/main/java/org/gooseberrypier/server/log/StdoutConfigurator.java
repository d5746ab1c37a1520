package org.gooseberrypier.server.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.hook.DefaultShutdownHook;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures logging to standard output through a bounded queue, if the system property {@value #PROPERTY} is set. It takes
 * half of the processor time that reading the same configuration from an XML file takes, which counts where VMs of a fraction
 * of a core start. Without the property, Logback's files apply.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class StdoutConfigurator extends ContextAwareBase implements Configurator {

    /** Name of the system property that selects this configuration. */
    static final String PROPERTY = "gooseberrypier.log.stdout";

    private static final String PATTERN = "time=%d{HH:mm:ss.SSS} level=%level logger=%logger{0} %msg%n%ex";
    private static final int MAX_WAITING_LINES = 2_048;

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        if (!Boolean.getBoolean(PROPERTY)) {
            return ExecutionStatus.NEUTRAL;
        }
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(bounded(context, stdout(context)));
        flushAtShutdown(context);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static ConsoleAppender<ILoggingEvent> stdout(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(PATTERN);
        encoder.start();
        ConsoleAppender<ILoggingEvent> stdout = new ConsoleAppender<>();
        stdout.setContext(context);
        stdout.setName("stdout");
        stdout.setEncoder(encoder);
        stdout.start();
        return stdout;
    }

    private static BoundedAppender bounded(LoggerContext context, ConsoleAppender<ILoggingEvent> stdout) {
        BoundedAppender bounded = new BoundedAppender();
        bounded.setContext(context);
        bounded.setName("bounded");
        bounded.setQueueSize(MAX_WAITING_LINES);
        bounded.addAppender(stdout);
        bounded.start();
        return bounded;
    }

    /** Writes the lines that wait before the process ends. */
    private static void flushAtShutdown(LoggerContext context) {
        DefaultShutdownHook hook = new DefaultShutdownHook();
        hook.setContext(context);
        Runtime.getRuntime().addShutdownHook(new Thread(hook, "log-flush"));
    }
}
