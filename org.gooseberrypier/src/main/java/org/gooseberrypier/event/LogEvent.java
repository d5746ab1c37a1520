package org.gooseberrypier.event;

import java.util.List;
import java.util.Set;

import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.log.AppendResult;
import org.gooseberrypier.log.LogRecord;
import org.gooseberrypier.log.StreamId;

/** An event caused by the platform. */
public sealed interface LogEvent extends Event {

    /**
     * A read of a stream succeeded.
     *
     * @param stream the stream
     * @param from the requested offset
     * @param firstOffset the lowest offset that the stream still has
     * @param nextOffset the offset that the next record of the stream will get
     * @param records the records from the requested offset, in order, possibly none
     */
    record Read(StreamId stream, long from, long firstOffset, long nextOffset, List<LogRecord> records)
            implements LogEvent {

        /** Copies the list. */
        public Read {
            records = List.copyOf(records);
        }
    }

    /**
     * A read of a stream failed or timed out.
     *
     * @param stream the stream
     * @param detail a one-line description
     */
    record ReadFailed(StreamId stream, String detail) implements LogEvent {}

    /**
     * An append ended.
     *
     * @param append the number of the append, assigned by the core
     * @param result the result
     */
    record AppendEnded(long append, AppendResult result) implements LogEvent {}

    /**
     * The platform's list of VMs was read; the list lags behind and serves as a hint only.
     *
     * @param live the VMs listed as live
     * @param leaving the live VMs listed as leaving
     */
    record VmsListed(Set<VmId> live, Set<VmId> leaving) implements LogEvent {}
}
