package org.gooseberrypier.internal.board;

import org.gooseberrypier.api.DispatcherSettings;

/** Holds the state of one VM, divided into sections that are each written by one controller. */
public final class Blackboard {

    private final DispatcherSettings settings;
    private final TicketSection tickets = new TicketSection();
    private final SubmissionSection submissions = new SubmissionSection();
    private final EndpointSection endpoints = new EndpointSection();
    private final QueueSection queue = new QueueSection();
    private final CounterSection counters = new CounterSection();
    private final LifecycleSection lifecycle = new LifecycleSection();
    private final MembershipSection membership = new MembershipSection();
    private final ViewSection views = new ViewSection();
    private final ShardSection shards = new ShardSection();
    private final QuotaSection quotas = new QuotaSection();

    /**
     * Creates an empty blackboard.
     *
     * @param settings the settings of this VM
     */
    public Blackboard(DispatcherSettings settings) {
        this.settings = settings;
    }

    /**
     * Returns the settings of this VM.
     *
     * @return the settings
     */
    public DispatcherSettings settings() {
        return settings;
    }

    /**
     * Returns the section of tickets.
     *
     * @return the section
     */
    public TicketSection tickets() {
        return tickets;
    }

    /**
     * Returns the section of submissions.
     *
     * @return the section
     */
    public SubmissionSection submissions() {
        return submissions;
    }

    /**
     * Returns the section of endpoints.
     *
     * @return the section
     */
    public EndpointSection endpoints() {
        return endpoints;
    }

    /**
     * Returns the section of waiting tasks.
     *
     * @return the section
     */
    public QueueSection queue() {
        return queue;
    }

    /**
     * Returns the section of event counters.
     *
     * @return the section
     */
    public CounterSection counters() {
        return counters;
    }

    /**
     * Returns the section of this VM's lifecycle.
     *
     * @return the section
     */
    public LifecycleSection lifecycle() {
        return lifecycle;
    }

    /**
     * Returns the section of the peers of this VM.
     *
     * @return the section
     */
    public MembershipSection membership() {
        return membership;
    }

    /**
     * Returns the section of the zone's views.
     *
     * @return the section
     */
    public ViewSection views() {
        return views;
    }

    /**
     * Returns the section of key shards.
     *
     * @return the section
     */
    public ShardSection shards() {
        return shards;
    }

    /**
     * Returns the section of teams and their quotas.
     *
     * @return the section
     */
    public QuotaSection quotas() {
        return quotas;
    }

    /**
     * Describes the state for the log entry of an invariant violation.
     *
     * @return one line of key=value pairs: the sizes of the sections and all counters
     */
    public String describe() {
        return "self=" + settings.self()
                + " ticket=" + tickets.inForce().number()
                + " ticket_offset=" + tickets.inForce().offset()
                + " jobs=" + submissions.jobs().size()
                + " queued_tasks=" + queue.tasks()
                + " queued_bytes=" + queue.bytes()
                + " endpoints=" + endpoints.states().size()
                + " teams=" + quotas.teams().size()
                + " stopping=" + lifecycle.isStopping()
                + " counts=" + counters.snapshot();
    }
}
