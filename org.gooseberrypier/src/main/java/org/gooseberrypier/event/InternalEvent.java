package org.gooseberrypier.event;

import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Reason;
import org.gooseberrypier.lib.TaskRef;
import org.gooseberrypier.lib.TaskReply;
import org.gooseberrypier.ticket.Configuration;

/** An event that one controller raises for the others; it is never published from outside the core. */
public sealed interface InternalEvent extends Event {

    /**
     * A new configuration came into force.
     *
     * @param before the previous configuration
     * @param after the configuration now in force
     */
    record ConfigurationChanged(Configuration before, Configuration after) implements InternalEvent {}

    /**
     * All records that a job needs before its start are stored; its tasks may be queued.
     *
     * @param job the job, which is in the submission section
     */
    record JobAdmitted(JobId job) implements InternalEvent {}

    /**
     * A task of an admitted job has ended and will not be retried.
     *
     * @param task the task
     * @param reply its result; {@link TaskReply.NotStarted} means that the task never started on any endpoint
     */
    record TaskEnded(TaskRef task, TaskReply reply) implements InternalEvent {}

    /**
     * A job no longer needs its tasks: waiting tasks are removed from the queue, running ones are stopped if possible.
     *
     * @param job the job
     * @param reason the reason
     */
    record JobWithdrawn(JobId job, Reason reason) implements InternalEvent {}

    /**
     * A job was answered; its record is kept only for resubmissions.
     *
     * @param job the job
     */
    record JobEnded(JobId job) implements InternalEvent {}

    /** This VM began its graceful stop. */
    record Stopping() implements InternalEvent {}

    /** One controller has no work left that the exit of the process must wait for. */
    record Drained() implements InternalEvent {}

    /**
     * A new view of this VM's zone came into force; it is in the view section.
     *
     * @param number the number of the view
     */
    record ViewChanged(long number) implements InternalEvent {}

    /** The graceful stop timed out; all calls that still wait are answered now. */
    record StopTimedOut() implements InternalEvent {}
}
