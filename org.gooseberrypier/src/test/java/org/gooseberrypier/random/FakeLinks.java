package org.gooseberrypier.random;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.PeerEvent;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;

/** Simulates the links between VMs, with delayed, lost, reordered and duplicated messages and cut links. */
final class FakeLinks {

    private static final int MAX_DELAY_MS = 8;
    private static final int MAX_FAULT_DELAY_MS = 4_000;

    private final Schedule schedule;
    private final UniformRandomProvider random;
    private final FaultRates rates;
    private final Map<VmId, FakeVm> vms;
    private final Set<Cut> cuts = new HashSet<>();
    private boolean faultsDisabled;

    FakeLinks(Schedule schedule, UniformRandomProvider random, FaultRates rates, Map<VmId, FakeVm> vms) {
        this.schedule = schedule;
        this.random = random;
        this.rates = rates;
        this.vms = vms;
    }

    void cut(VmId from, VmId to) {
        cuts.add(new Cut(from, to));
    }

    /** From now on no message is lost, duplicated or delayed by a fault. */
    void disableFaults() {
        faultsDisabled = true;
    }

    void healAll() {
        cuts.clear();
    }

    void send(Member from, Effect.SendPeer effect) {
        if (!faultsDisabled && random.nextDouble() < rates.messageLoss()) {
            return;
        }
        deliverLater(from, effect);
        if (!faultsDisabled && random.nextDouble() < rates.messageDuplicated()) {
            deliverLater(from, effect);
        }
    }

    private void deliverLater(Member from, Effect.SendPeer effect) {
        boolean delayed = !faultsDisabled && random.nextDouble() < rates.messageDelayed();
        int delayMs = 1 + random.nextInt(delayed ? MAX_FAULT_DELAY_MS : MAX_DELAY_MS);
        schedule.after(delayMs, () -> deliver(from, effect));
    }

    private void deliver(Member from, Effect.SendPeer effect) {
        FakeVm to = vms.get(effect.to());
        if (to == null || cuts.contains(new Cut(from.vm(), effect.to()))) {
            return;
        }
        if (to.isUp()) {
            to.run().deliver(new PeerEvent.Received(from, effect.message()));
        } else {
            refuse(from, effect.to());
        }
    }

    /** Refuses a connection, as the host of a VM that is down does. */
    private void refuse(Member from, VmId to) {
        FakeVm sender = vms.get(from.vm());
        if (sender.isUp() && sender.run().member().equals(from)) {
            sender.run().deliver(new PeerEvent.ConnectionRefused(to));
        }
    }

    private record Cut(VmId from, VmId to) {}
}
