package org.gooseberrypier.peer;

/**
 * A message from one VM of the system to another.
 *
 * <p>Each concern has its own sealed interface, protocol file and codec.
 */
public sealed interface PeerMessage permits SubmissionMessage, MembershipMessage, PlacementMessage, TicketMessage {}
