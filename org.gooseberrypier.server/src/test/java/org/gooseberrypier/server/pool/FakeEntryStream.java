package org.gooseberrypier.server.pool;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import org.gooseberrypier.pool.PoolMessage;
import org.gooseberrypier.pool.VmIncarnation;
import org.gooseberrypier.protocol.ToEntryProto;
import org.gooseberrypier.protocol.ToOwnerProto;

/** Stream of an entry VM without a connection: a test calls the owner's end in the order and on the thread that it wants. */
final class FakeEntryStream extends ServerCallStreamObserver<ToEntryProto> {

    private final List<ToEntryProto> received = new CopyOnWriteArrayList<>();
    private final StreamObserver<ToOwnerProto> owner;
    private volatile Runnable onCancel;
    private volatile boolean completed;

    FakeEntryStream(EntryLinks links) {
        owner = links.new Service().attach(this);
    }

    void hello(VmIncarnation vm, long number) {
        owner.onNext(ToOwnerProto.newBuilder()
                .setHello(PoolMessageCodec.encode(vm))
                .setAcknowledgesHeartbeats(true)
                .setLink(number)
                .build());
    }

    void send(PoolMessage.ToOwner message) {
        owner.onNext(PoolMessageCodec.encode(message));
    }

    /** Tells the owner that the connection was lost. */
    void cancel() {
        onCancel.run();
    }

    /** Tells the owner that the entry VM has ended the stream. */
    void end() {
        owner.onCompleted();
    }

    List<ToEntryProto> received() {
        return received;
    }

    /** Returns whether the owner has ended the stream. */
    boolean isCompleted() {
        return completed;
    }

    @Override
    public void onNext(ToEntryProto message) {
        received.add(message);
    }

    @Override
    public void onError(Throwable error) {
        completed = true;
    }

    @Override
    public void onCompleted() {
        completed = true;
    }

    @Override
    public boolean isCancelled() {
        return false;
    }

    @Override
    public void setOnCancelHandler(Runnable handler) {
        onCancel = handler;
    }

    @Override
    public void setCompression(String compression) {}

    @Override
    public boolean isReady() {
        return true;
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
