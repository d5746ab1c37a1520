package org.gooseberrypier.server.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.grpc.stub.CallStreamObserver;
import org.gooseberrypier.protocol.ToOwnerProto;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class StreamSenderTest {

    private static final int SEEDS = 2_000;
    private static final int STEPS = 40;

    /** A stream that the peer or the transport may end between any two calls of its methods, and then behaves as gRPC's. */
    private static final class FakeStream extends CallStreamObserver<ToOwnerProto> {

        private final Random random;
        private final List<String> sent = new ArrayList<>();
        private boolean ready = true;
        private boolean cancelled;
        private boolean closed;
        private Runnable interference = () -> {};

        FakeStream(Random random) {
            this.random = random;
        }

        @Override
        public boolean isReady() {
            interference.run();
            boolean answer = ready && !cancelled;
            interference.run();
            return answer;
        }

        @Override
        public void onNext(ToOwnerProto message) {
            interference.run();
            if (cancelled) {
                throw new IllegalStateException("call was cancelled");
            }
            if (closed) {
                throw new IllegalStateException("call is closed");
            }
            sent.add(message.getWithdraw());
            interference.run();
        }

        @Override
        public void onCompleted() {
            interference.run();
            if (closed || cancelled) {
                throw new IllegalStateException("call already closed");
            }
            closed = true;
        }

        void disturb(StreamSender<ToOwnerProto> sender) {
            switch (random.nextInt(12)) {
                case 0 -> cancelled = true;
                case 1 -> closed = true;
                case 2 -> ready = false;
                case 3, 4 -> ready = true;
                case 5 -> {
                    cancelled = true;
                    sender.abandon();
                }
                default -> {}
            }
        }

        @Override
        public void onError(Throwable error) {
            cancelled = true;
        }

        @Override
        public void setOnReadyHandler(Runnable handler) {}

        @Override
        public void disableAutoInboundFlowControl() {}

        @Override
        public void request(int count) {}

        @Override
        public void setMessageCompression(boolean enable) {}
    }

    private static ToOwnerProto message(int number) {
        return ToOwnerProto.newBuilder().setWithdraw(String.valueOf(number)).build();
    }

    @Test
    public void endsAndCancelsBetweenAnyTwoStepsOfASendNeverThrow() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Random random = new Random(seed);
            FakeStream stream = new FakeStream(random);
            List<String> failures = new ArrayList<>();
            StreamSender<ToOwnerProto> sender = new StreamSender<>(stream, (earlier, later) -> later, failures::add);
            stream.interference = () -> stream.disturb(sender);
            int last = 0;
            for (int i = 1; i <= STEPS; i++) {
                switch (random.nextInt(5)) {
                    case 0 -> sender.sendPeriodic(message(++last));
                    case 1 -> sender.drain();
                    case 2 -> {
                        if (i == STEPS) {
                            sender.end();
                        }
                    }
                    default -> sender.send(message(++last));
                }
            }
            assertTrue(failures.size() <= 1, "seed " + seed + " reported " + failures);
            List<String> ordered = new ArrayList<>(stream.sent);
            ordered.sort((a, b) -> Integer.compare(Integer.parseInt(a), Integer.parseInt(b)));
            assertEquals(stream.sent, ordered, "seed " + seed + " sent in another order");
        }
    }

    @Test
    public void messagesWaitWhileTheStreamIsNotReadyAndKeepTheirOrder() {
        FakeStream stream = new FakeStream(new Random(1));
        StreamSender<ToOwnerProto> sender = new StreamSender<>(stream, (earlier, later) -> later, f -> {});
        stream.ready = false;
        sender.send(message(1));
        sender.sendPeriodic(message(2));
        sender.sendPeriodic(message(3));
        sender.send(message(4));
        assertEquals(stream.sent, List.of());
        stream.ready = true;
        sender.drain();
        assertEquals(stream.sent, List.of("1", "3", "4"));
    }

    @Test
    public void aPeerThatReadsNothingFailsTheStreamOnceAndBoundsTheQueue() {
        FakeStream stream = new FakeStream(new Random(1));
        List<String> failures = new ArrayList<>();
        StreamSender<ToOwnerProto> sender = new StreamSender<>(stream, (earlier, later) -> later, failures::add);
        stream.ready = false;
        for (int i = 0; i <= Outbox.MAX_MESSAGES + 10; i++) {
            sender.send(message(i));
        }
        assertEquals(failures, List.of("too many messages wait for the peer"));
        stream.ready = true;
        sender.drain();
        assertEquals(stream.sent, List.of());
    }

    @Test
    public void aFailedStreamIsReportedWithItsReason() {
        FakeStream stream = new FakeStream(new Random(1));
        List<String> failures = new ArrayList<>();
        StreamSender<ToOwnerProto> sender = new StreamSender<>(stream, (earlier, later) -> later, failures::add);
        stream.closed = true;
        sender.send(message(1));
        sender.send(message(2));
        assertEquals(failures, List.of("java.lang.IllegalStateException: call is closed"));
    }
}
