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

/** An action that the core requests from the process around it. */
public sealed interface Effect {

    /**
     * Send the answer of a job to a caller.
     *
     * @param call the call
     * @param answer the answer
     */
    record AnswerCaller(long call, Answer answer) implements Effect {}

    /**
     * Send the status of a job to a caller.
     *
     * @param call the call
     * @param status the status
     */
    record SendStatus(long call, JobStatus status) implements Effect {}

    /**
     * Send a task to an endpoint; the end of the attempt is reported as {@code EndpointEvent.Replied}.
     *
     * @param attempt the number of the attempt, unique in this process
     * @param endpoint the endpoint
     * @param address the address of the endpoint
     * @param work the kind of work
     * @param task the reference of the task
     * @param spec the content of the task
     * @param deadlineAtMs the time after which the result is no longer needed, in milliseconds since the epoch
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
     * Stop an attempt if the endpoint supports it; the end of the attempt is still reported.
     *
     * @param attempt the number of the attempt
     */
    record CancelTask(long attempt) implements Effect {}

    /**
     * Probe whether an endpoint answers on its connections; the result is reported as {@code EndpointEvent.Probed}.
     *
     * @param endpoint the endpoint
     * @param address the address of the endpoint
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
     * Append a record to a stream; the result is reported as {@code LogEvent.AppendEnded}.
     *
     * @param append the number of the append, unique in this process
     * @param stream the stream
     * @param data the content of the record
     */
    record AppendLog(long append, StreamId stream, Payload data) implements Effect {}

    /**
     * Record a change in the audit trail.
     *
     * @param entry the entry
     */
    record Audit(AuditEntry entry) implements Effect {}

    /**
     * Connect to the VMs and endpoints of a new configuration and close the connections to all others.
     *
     * @param configuration the configuration in force
     */
    record ApplyConfiguration(Configuration configuration) implements Effect {}

    /** Exit the process; the graceful stop has ended. */
    record Exit() implements Effect {}

    /**
     * Read a stream from its oldest record and follow what is appended; each read is reported as {@code LogEvent.Read}.
     *
     * @param stream the stream
     */
    record TailStream(StreamId stream) implements Effect {}
}
