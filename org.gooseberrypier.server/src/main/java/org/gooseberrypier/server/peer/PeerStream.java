package org.gooseberrypier.server.peer;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.protocol.Envelope;
import org.gooseberrypier.protocol.PeerServiceGrpc;
import org.gooseberrypier.server.settings.PeerSettings;

/**
 * A connection to a peer with one outgoing stream; it is not reopened after it has ended.
 *
 * <p>All methods are called on the event loop of the stream.
 */
final class PeerStream {

    private final EventLoop loop;
    private final Listener listener;
    private final ManagedChannel channel;
    private ClientCallStreamObserver<Envelope> out;
    private boolean ended;

    private PeerStream(EventLoop loop, HostPort address, PeerSettings settings, Listener listener) {
        this.loop = loop;
        this.listener = listener;
        this.channel = NettyChannelBuilder.forAddress(address.toSocketAddress())
                .eventLoopGroup(loop)
                .channelType(NioSocketChannel.class)
                .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMs())
                .withOption(ChannelOption.TCP_NODELAY, true)
                .maxInboundMessageSize(settings.maxMessageBytes())
                .proxyDetector(target -> null)
                .usePlaintext()
                .disableRetry()
                .directExecutor()
                .build();
    }

    static PeerStream open(EventLoop loop, HostPort address, PeerSettings settings, Listener listener) {
        PeerStream stream = new PeerStream(loop, address, settings, listener);
        PeerServiceGrpc.newStub(stream.channel).exchange(stream.new Observer());
        return stream;
    }

    boolean isReady() {
        return out != null && out.isReady();
    }

    void send(Envelope envelope) {
        out.onNext(envelope);
    }

    /** Half-closes the stream after the messages that were sent. */
    void complete() {
        out.onCompleted();
    }

    /** Cancels the stream and closes its connection; the listener is not called any more. */
    void abort() {
        ended = true;
        channel.shutdownNow();
    }

    private void end(Throwable error) {
        if (ended) {
            return;
        }
        ended = true;
        channel.shutdownNow();
        listener.onEnd(error);
    }

    /** Receives the events of a stream, on its event loop. */
    interface Listener {

        void onReady();

        void onPong(long number);

        void onEnd(Throwable error);
    }

    private final class Observer implements ClientResponseObserver<Envelope, Envelope> {

        @Override
        public void beforeStart(ClientCallStreamObserver<Envelope> stream) {
            out = stream;
            stream.setOnReadyHandler(() -> loop.execute(this::ready));
        }

        private void ready() {
            if (!ended) {
                listener.onReady();
            }
        }

        @Override
        public void onNext(Envelope envelope) {
            if (envelope.getMessageCase() == Envelope.MessageCase.PONG) {
                loop.execute(() -> pong(envelope.getPong()));
            }
        }

        private void pong(long number) {
            if (!ended) {
                listener.onPong(number);
            }
        }

        @Override
        public void onError(Throwable error) {
            loop.execute(() -> end(error));
        }

        @Override
        public void onCompleted() {
            loop.execute(() -> end(Status.CANCELLED.asRuntimeException()));
        }
    }
}
