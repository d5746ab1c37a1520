package org.gooseberrypier.soak;

import java.util.function.UnaryOperator;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

/** Rewrites the payloads of the DATA frames of one direction of an HTTP/2 connection, keeping their lengths. */
final class Http2AddressRewriter implements UnaryOperator<ByteBuf> {

    private static final int PREFACE_BYTES = 24;
    private static final int HEADER_BYTES = 9;
    private static final int TYPE_OFFSET = 3;
    private static final byte DATA = 0;

    private final UnaryOperator<byte[]> rewrite;
    private final ByteBuf waiting = Unpooled.buffer();
    private int prefaceBytes;

    /**
     * Creates a rewriter.
     *
     * @param fromClient whether the direction begins with the client's preface
     * @param rewrite rewrites a payload
     */
    Http2AddressRewriter(boolean fromClient, UnaryOperator<byte[]> rewrite) {
        this.rewrite = rewrite;
        prefaceBytes = fromClient ? PREFACE_BYTES : 0;
    }

    /** Takes bytes and returns the whole frames that are there. */
    @Override
    public ByteBuf apply(ByteBuf in) {
        waiting.writeBytes(in);
        in.release();
        ByteBuf out = Unpooled.buffer();
        int preface = Math.min(prefaceBytes, waiting.readableBytes());
        out.writeBytes(waiting, preface);
        prefaceBytes -= preface;
        while (prefaceBytes == 0 && waiting.readableBytes() >= HEADER_BYTES) {
            int length = waiting.getUnsignedMedium(waiting.readerIndex());
            if (waiting.readableBytes() < HEADER_BYTES + length) {
                break;
            }
            byte type = waiting.getByte(waiting.readerIndex() + TYPE_OFFSET);
            out.writeBytes(waiting, HEADER_BYTES);
            byte[] payload = ByteBufUtil.getBytes(waiting.readSlice(length));
            out.writeBytes(type == DATA ? rewrite.apply(payload) : payload);
        }
        waiting.discardReadBytes();
        return out;
    }
}
