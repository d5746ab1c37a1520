package org.gooseberrypier.pgm;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.standin.endpoint.EndpointServer;
import org.gooseberrypier.standin.endpoint.FailureMode;
import org.gooseberrypier.standin.endpoint.TimedRunner;

/** Runs the stand-in of an endpoint. */
@Parameters(commandDescription = "Run the stand-in of an endpoint")
final class StandinEndpointCommand implements Command {

    @Parameter(
            names = "--listen",
            required = true,
            converter = HostPortConverter.class,
            description = "IP:port to listen on")
    private HostPort listen;

    @Parameter(names = "--slots", description = "the number of tasks that run at the same time")
    private int slots = 8;

    @Parameter(names = "--speed", description = "the speed; 2 halves the run time of each task")
    private double speed = 1;

    @Parameter(names = "--mode", description = "the failure mode: none, fail, straggle, silent, refuse")
    private FailureMode mode = FailureMode.NONE;

    @Override
    public int call() {
        if (slots < 1 || !(speed > 0)) {
            throw new ParameterException("--slots: " + slots + " and --speed: " + speed + " must be above 0");
        }
        var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EndpointServer server = EndpointServer.builder(group)
                .slots(slots)
                .runner(new TimedRunner(speed))
                .mode(mode)
                .open(listen);
        System.out.println("event=started address=" + server.address());
        group.terminationFuture().syncUninterruptibly();
        return ExitCode.OK;
    }
}
