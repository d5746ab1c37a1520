package org.gooseberrypier.internal.membership;

import java.util.ArrayList;
import java.util.List;

import org.gooseberrypier.internal.board.ZoneView;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;

/**
 * One record of a zone's stream of views.
 *
 * @param kind the purpose of the record
 * @param view the view
 * @param readUpTo the offset, exclusive, up to which the writer had read the stream
 * @param history the earlier views whose shards may still have to be collected, oldest first
 */
record ViewRecord(Kind kind, View view, long readUpTo, List<View> history) {

    ViewRecord {
        history = List.copyOf(history);
    }

    static ViewRecord of(Kind kind, ZoneView view, long readUpTo, List<ZoneView> history) {
        return new ViewRecord(
                kind, View.of(view), readUpTo, history.stream().map(View::of).toList());
    }

    /** Returns the listed views that the writer knew, oldest first up to its current view; empty if it listed none. */
    List<ZoneView> knownViews() {
        List<ZoneView> known = new ArrayList<>();
        for (View v : history) {
            known.add(v.toZoneView());
        }
        if (kind == Kind.REWRITE) {
            known.add(view.toZoneView());
        }
        return known;
    }

    /** The purpose of a record. */
    enum Kind {
        /** Proposes the view with the next number. */
        NEXT,
        /** Repeats the current view before its earlier records expire. */
        REWRITE,
        /** Starts over with a view without predecessors after all records of earlier views have expired. */
        RESTART
    }

    /**
     * The stored form of a view.
     *
     * @param number its number
     * @param uniqueId the identifier chosen by its proposer
     * @param ticketNumber the number of the ticket that was in force at its proposer
     * @param members the members
     */
    record View(long number, String uniqueId, long ticketNumber, List<MemberName> members) {

        View {
            members = List.copyOf(members);
            if (number <= 0 || uniqueId.isBlank() || members.isEmpty()) {
                throw new IllegalArgumentException("view without a positive number, a unique id or members");
            }
            if (members.stream().map(MemberName::vm).distinct().count() != members.size()) {
                throw new IllegalArgumentException("view lists a VM more than once");
            }
        }

        static View of(ZoneView v) {
            List<MemberName> names = v.members().stream()
                    .map(m -> new MemberName(m.vm().name(), m.incarnation()))
                    .toList();
            return new View(v.number(), v.uniqueId(), v.ticketNumber(), names);
        }

        ZoneView toZoneView() {
            return new ZoneView(
                    number,
                    uniqueId,
                    ticketNumber,
                    members.stream().map(MemberName::toMember).toList());
        }
    }

    /**
     * The stored form of a member.
     *
     * @param vm the name of the VM
     * @param incarnation its incarnation
     */
    record MemberName(String vm, long incarnation) {

        Member toMember() {
            return new Member(new VmId(vm), incarnation);
        }
    }
}
