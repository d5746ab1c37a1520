package org.gooseberrypier.pgm;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.standin.platform.LogStore;
import org.gooseberrypier.standin.platform.PlatformServer;

/** Runs the stand-in of the platform. */
@Parameters(commandDescription = "Run the stand-in of the platform")
final class StandinPlatformCommand implements Command {

    @Parameter(
            names = "--listen",
            required = true,
            converter = HostPortConverter.class,
            description = "IP:port to listen on")
    private HostPort listen;

    @Override
    public int call() {
        var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        PlatformServer server = PlatformServer.open(new LogStore(), group, listen);
        System.out.println("event=started address=" + server.address());
        group.terminationFuture().syncUninterruptibly();
        return ExitCode.OK;
    }
}
