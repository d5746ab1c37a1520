package org.gooseberrypier.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/** Sets TCP keep-alive options, so that the loss of a peer is detected while a reply is awaited. */
final class KeepAlive {

    private static final int IDLE_S = 5;
    private static final int INTERVAL_S = 2;
    private static final int PROBE_COUNT = 3;

    private static final ChannelOption<Integer> IDLE = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE);
    private static final ChannelOption<Integer> INTERVAL = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL);
    private static final ChannelOption<Integer> COUNT = NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT);

    private KeepAlive() {}

    static void apply(Bootstrap bootstrap) {
        bootstrap
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(IDLE, IDLE_S)
                .option(INTERVAL, INTERVAL_S)
                .option(COUNT, PROBE_COUNT);
    }

    static void apply(ServerBootstrap bootstrap) {
        bootstrap
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(IDLE, IDLE_S)
                .childOption(INTERVAL, INTERVAL_S)
                .childOption(COUNT, PROBE_COUNT);
    }
}
