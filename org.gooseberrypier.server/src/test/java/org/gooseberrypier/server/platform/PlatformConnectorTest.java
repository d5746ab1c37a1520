package org.gooseberrypier.server.platform;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.gooseberrypier.api.Dispatcher;
import org.gooseberrypier.api.DispatcherSettings;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.standin.platform.Faults;
import org.gooseberrypier.standin.platform.LogStore;
import org.gooseberrypier.standin.platform.PlatformServer;
import org.gooseberrypier.ticket.Configuration;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

public class PlatformConnectorTest {

    private static final long TIMEOUT_S = 20;
    private static final String FIRST = "{\"number\":1,\"uniqueId\":\"t-1\",\"author\":\"a\",\"reason\":\"r\","
            + "\"vms\":[{\"id\":\"vm-1\",\"zone\":\"tartu-a\",\"peerAddress\":\"127.0.0.1:7000\",\"leaving\":false}]}";
    private static final String SECOND = "{\"number\":2,\"uniqueId\":\"t-2\",\"author\":\"a\",\"reason\":\"r\"}";

    private final BlockingQueue<Configuration> applied = new LinkedBlockingQueue<>();
    private final LogStore store = new LogStore();
    private EventLoopGroup group;
    private PlatformServer server;
    private Dispatcher dispatcher;
    private PlatformConnector connector;

    @BeforeMethod
    public void open() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server = PlatformServer.open(store, group, new HostPort("127.0.0.1", 0));
        DispatcherSettings settings = DispatcherSettings.builder(new Member(new VmId("vm-1"), 1), new ZoneId("tartu-a"))
                .build();
        dispatcher = Dispatcher.builder(settings, this::perform).build();
        connector = new PlatformConnector(dispatcher, group, server.address());
        dispatcher.start();
        connector.start();
    }

    @AfterMethod
    public void close() {
        connector.close();
        dispatcher.close();
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    public void ticketsTakeEffectAfterAnOutage() throws Exception {
        connector.append(org.gooseberrypier.log.StreamId.TICKETS, Payload.of(FIRST));
        assertEquals(next().number(), 1);
        server.setFaults(Faults.NONE.withDown(true));
        store.append("tickets", Payload.of(SECOND), System.currentTimeMillis());
        server.setFaults(Faults.NONE);
        assertEquals(next().uniqueId(), "t-2");
    }

    private Configuration next() throws InterruptedException {
        Configuration configuration = applied.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull(configuration, "no ticket took effect");
        return configuration;
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.ApplyConfiguration u) {
            applied.add(u.configuration());
        }
    }
}
