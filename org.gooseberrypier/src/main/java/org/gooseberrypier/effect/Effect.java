package org.gooseberrypier.effect;

import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.TaskRef;
import org.gooseberrypier.lib.TaskSpec;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.log.StreamId;
import org.gooseberrypier.peer.PeerMessage;
import org.gooseberrypier.ticket.Configuration;

/** Something that the core asks its surroundings to do. */
public sealed interface Effect {

    /**
     * Answer a caller.
     *
     * @param call the call
     * @param answer the whole answer
     */
    record AnswerCaller(long call, Answer answer) implements Effect {}

    /**
     * Tell a caller the state of a job.
     *
     * @param call the call
     * @param status the state
     */
    record SendStatus(long call, JobStatus status) implements Effect {}

    /**
     * Send a task to an endpoint; its end comes back as {@code EndpointEvent.Replied}.
     *
     * @param attempt the attempt, unique in this process
     * @param endpoint the endpoint
     * @param address its address
     * @param work the kind of work
     * @param task which task
     * @param spec the task
     * @param deadlineAtMs when the result is of no use any more, in milliseconds since the epoch
     */
    record StartTask(
            long attempt,
            EndpointId endpoint,
            String address,
            WorkId work,
            TaskRef task,
            TaskSpec spec,
            long deadlineAtMs)
            implements Effect {}

    /**
     * Stop an attempt where the endpoint can; its end still comes back.
     *
     * @param attempt the attempt
     */
    record CancelTask(long attempt) implements Effect {}

    /**
     * Find out whether an endpoint answers on its connections; the result comes back as {@code EndpointEvent.Probed}.
     *
     * @param endpoint the endpoint
     * @param address its address
     */
    record ProbeEndpoint(EndpointId endpoint, String address) implements Effect {}

    /**
     * Send a message to another VM, at most once.
     *
     * @param to the VM
     * @param message the message
     */
    record SendPeer(VmId to, PeerMessage message) implements Effect {}

    /**
     * Append a record to a stream; its end comes back as {@code LogEvent.AppendEnded}.
     *
     * @param append the number of the append, unique in this process
     * @param stream the stream
     * @param data the record
     */
    record AppendLog(long append, StreamId stream, Payload data) implements Effect {}

    /**
     * Note a change in the audit trail.
     *
     * @param entry the change
     */
    record Audit(AuditEntry entry) implements Effect {}

    /**
     * Connect to the VMs and endpoints of another configuration, and let go of the others.
     *
     * @param configuration the configuration in force
     */
    record ApplyConfiguration(Configuration configuration) implements Effect {}

    /** Everything is drained; the process may exit. */
    record Exit() implements Effect {}

    /**
     * Read a stream from its oldest record and go on reading what is appended; reads come back as {@code LogEvent.Read}.
     *
     * @param stream the stream
     */
    record TailStream(StreamId stream) implements Effect {}
}
