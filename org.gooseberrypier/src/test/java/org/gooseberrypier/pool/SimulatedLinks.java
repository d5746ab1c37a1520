package org.gooseberrypier.pool;

import java.util.Random;

/** Opens, watches and closes the links between the VMs of a simulation, and carries their messages. */
final class SimulatedLinks {

    private static final int LINK_TIMEOUT_MS = 400;
    private static final int CHECK_INTERVAL_MS = 100;
    private static final long RECONNECT_DELAY_MS = 40;
    private static final long SILENCE_CHECK_DELAY_MS = 200;
    private static final long RETRANSMISSION_MS = 200;
    /** Whether messages that arrive on a link that its peer has ended are handled, as EntryLinks does if gRPC delivers them. */
    private static final boolean DELIVERS_ON_ENDED_LINKS = Boolean.getBoolean("pool.endedLinks");

    /** How many links that had been up for the silence timeout were replaced at a peer that had not noticed their loss. */
    int replaced;

    /** Whether withdrawals of jobs are lost, while all other messages pass. */
    boolean losesWithdrawals;

    /** How many messages arrived late, after a cut, and how many of them forwarded a job. */
    int late;

    int lateForwards;

    private final PoolSimulation simulation;
    private final Random random;
    private long lastNumber;

    SimulatedLinks(PoolSimulation simulation) {
        this.simulation = simulation;
        this.random = simulation.random;
    }

    /** Closes the link of a VM and opens one to the given address, or none if it is empty. */
    void link(SimulatedVm vm, PoolEffect.LinkOwner effect) {
        SimulatedLink old = vm.link;
        vm.link = null;
        if (old != null) {
            closeAtPeer(old);
        }
        vm.linkTarget = effect.peer();
        vm.linkNumber = effect.link();
        if (!effect.peer().isEmpty()) {
            connect(vm, vm.startNumber(), effect);
        }
    }

    private void closeAtPeer(SimulatedLink link) {
        if (link.silent || isCut(link)) {
            simulation.after(LINK_TIMEOUT_MS, () -> detectLoss(link));
        } else if (random.nextInt(3) == 0) {
            // A lost packet with a close is sent again, or the peer detects the silence; it does not delay the next
            // link.
            simulation.after(1 + random.nextInt(LINK_TIMEOUT_MS + CHECK_INTERVAL_MS), () -> detectLoss(link));
        } else {
            simulation.after(1, () -> endAtPeer(link));
        }
    }

    /** Ends a link at the VM that accepted it; a frozen VM detects the loss only some time after it has resumed. */
    private void detectLoss(SimulatedLink link) {
        if (link.peer.frozen && link.peer.isCurrentStart(link.peerStartNumber)) {
            simulation.after(SILENCE_CHECK_DELAY_MS, () -> detectLoss(link));
        } else {
            endAtPeer(link);
        }
    }

    /** Reports the loss of a link to the VM that accepted it, unless another link of the same VM has replaced it. */
    private void endAtPeer(SimulatedLink link) {
        link.peer.run(link.peerStartNumber, () -> {
            if (link.peer.entryLinks.remove(link.contact, link)) {
                link.peer.handle(new PoolEvent.EntryLinkDown(link.contact, link.number));
            }
        });
    }

    private void attach(SimulatedLink link) {
        link.peer.run(link.peerStartNumber, () -> {
            SimulatedLink previous = link.peer.entryLinks.put(link.contact, link);
            if (previous != null && link.openedAtMs - previous.openedAtMs >= LINK_TIMEOUT_MS) {
                replaced++;
                simulation.logEvent("link of vm-" + link.vm.index + " replaced at its owner vm-" + link.peer.index);
            }
            link.peer.handle(new PoolEvent.EntryLinkUp(link.contact, link.number, true));
        });
    }

    private void connect(SimulatedVm vm, long startNumber, PoolEffect.LinkOwner effect) {
        if (!vm.isCurrentStart(startNumber) || vm.linkNumber != effect.link() || vm.link != null) {
            return;
        }
        String target = effect.peer();
        SimulatedVm peer = simulation.byAddress(target);
        boolean cut = simulation.isCut(vm.contact.address(), target);
        if (peer.alive && !cut && !peer.frozen && !vm.frozen) {
            SimulatedLink link = new SimulatedLink(++lastNumber, vm, peer, simulation.nowMs());
            vm.link = link;
            simulation.deliver(vm, 1, new PoolEvent.OwnerLinkDown(target, effect.link(), false));
            simulation.after(1, () -> attach(link));
            simulation.deliver(vm, 2, new PoolEvent.OwnerLinkUp(target, effect.link()));
            watch(link);
        } else {
            reportLoss(vm, startNumber, effect, peer.alive || cut ? LINK_TIMEOUT_MS : 2, !peer.alive && !cut);
            reconnectLater(vm, startNumber, effect);
        }
    }

    /** Reports a link as down to the VM that opened it, unless it has come up again before the loss is detected. */
    private void reportLoss(SimulatedVm vm, long startNumber, PoolEffect.LinkOwner effect, long ms, boolean refused) {
        simulation.after(ms, () -> {
            if (vm.link == null || vm.linkNumber != effect.link()) {
                vm.deliver(startNumber, new PoolEvent.OwnerLinkDown(effect.peer(), effect.link(), refused));
            }
        });
    }

    private void reconnectLater(SimulatedVm vm, long startNumber, PoolEffect.LinkOwner effect) {
        simulation.after(RECONNECT_DELAY_MS, () -> connect(vm, startNumber, effect));
    }

    /** Closes a link on which no data passes for a while. */
    private void watch(SimulatedLink link) {
        simulation.after(CHECK_INTERVAL_MS, () -> {
            if (!isOpenAtVm(link) || !link.peer.isCurrentStart(link.peerStartNumber) || link.silent) {
                return;
            }
            if (isCut(link) || link.peer.frozen || link.vm.frozen) {
                link.vm.link = null;
                holdMessages(link);
                reportLoss(link.vm, link.vmStartNumber, link.opened(), LINK_TIMEOUT_MS, false);
                // The two ends may detect the silence at different times, since one direction may fail later.
                simulation.after(LINK_TIMEOUT_MS + random.nextInt(LINK_TIMEOUT_MS), () -> detectLoss(link));
                reconnectLater(link.vm, link.vmStartNumber, link.opened());
            } else {
                watch(link);
            }
        });
    }

    /** Keeps what the VM sends until it detects the loss, for a part of the links; the kernel sends it after the cut. */
    private void holdMessages(SimulatedLink link) {
        if (isCut(link) && random.nextBoolean()) {
            link.lossUnnoticed = true;
            link.vm.fadingLink = link;
            simulation.after(LINK_TIMEOUT_MS, () -> link.lossUnnoticed = false);
        }
        if (!link.held.isEmpty() || link.lossUnnoticed) {
            simulation.after(RETRANSMISSION_MS, () -> retransmit(link, RETRANSMISSION_MS));
        }
    }

    /** Delivers held messages when the cut has ended; the interval between the trials doubles, as that of a kernel does. */
    private void retransmit(SimulatedLink link, long intervalMs) {
        if (!link.peer.isCurrentStart(link.peerStartNumber) || !link.vm.isCurrentStart(link.vmStartNumber)) {
            return;
        }
        if (isCut(link)) {
            simulation.after(2 * intervalMs, () -> retransmit(link, 2 * intervalMs));
            return;
        }
        for (PoolMessage.ToOwner m : link.held) {
            link.peer.run(link.peerStartNumber, () -> receiveLate(link, m));
        }
        link.held.clear();
    }

    private void receiveLate(SimulatedLink link, PoolMessage.ToOwner message) {
        boolean attached = link.peer.entryLinks.get(link.contact) == link;
        if (attached || DELIVERS_ON_ENDED_LINKS) {
            late++;
            if (message instanceof PoolMessage.ForwardJob f) {
                lateForwards++;
                link.peer.appendLog(
                        "late forward of " + f.job().id() + " by vm-" + link.vm.index + " attached=" + attached);
            }
            link.peer.handle(new PoolEvent.EntryMessageReceived(link.contact, link.number, message));
        }
    }

    /**
     * Makes the link of a VM silent for good. Either end may detect it first; if the VM that opened the link detects it, its
     * close does not reach the peer, but the next link does.
     */
    void silence(SimulatedVm vm) {
        SimulatedLink link = vm.link;
        if (link == null || link.silent) {
            return;
        }
        link.silent = true;
        simulation.logEvent("link of vm-" + vm.index + " to the owner vm-" + link.peer.index + " silent");
        simulation.after(LINK_TIMEOUT_MS + random.nextInt(CHECK_INTERVAL_MS), () -> closeSilent(link));
        simulation.after(
                LINK_TIMEOUT_MS + random.nextInt(random.nextBoolean() ? CHECK_INTERVAL_MS : LINK_TIMEOUT_MS),
                () -> detectLoss(link));
    }

    private void closeSilent(SimulatedLink link) {
        if (isOpenAtVm(link) && link.vm.frozen) {
            simulation.after(SILENCE_CHECK_DELAY_MS, () -> closeSilent(link));
        } else if (isOpenAtVm(link)) {
            link.vm.link = null;
            link.vm.deliver(
                    link.vmStartNumber,
                    new PoolEvent.OwnerLinkDown(link.target(), link.opened().link(), false));
            reconnectLater(link.vm, link.vmStartNumber, link.opened());
        }
    }

    /** Ends all links of a VM that was killed. */
    void onKilled(SimulatedVm vm) {
        for (SimulatedVm other : simulation.vms) {
            if (other.alive && other.link != null && other.link.peer == vm) {
                PoolEffect.LinkOwner opened = other.link.opened();
                other.link = null;
                simulation.deliver(other, 2, new PoolEvent.OwnerLinkDown(opened.peer(), opened.link(), false));
                reconnectLater(other, other.startNumber(), opened);
            }
            SimulatedLink accepted = other.entryLinks.get(vm.contact);
            if (other.alive && accepted != null) {
                simulation.after(2, () -> endAtPeer(accepted));
            }
        }
    }

    void sendToOwner(SimulatedVm vm, PoolMessage.ToOwner message) {
        if (losesWithdrawals && message instanceof PoolMessage.WithdrawJob) {
            return;
        }
        SimulatedLink link = vm.link;
        SimulatedLink fading = vm.fadingLink;
        if (link == null
                && fading != null
                && fading.lossUnnoticed
                && fading.target().equals(vm.linkTarget)) {
            fading.held.add(message);
        } else if (link != null && isCut(link)) {
            link.held.add(message);
        } else if (link != null && !link.silent && !isCut(link)) {
            simulation.deliver(link.peer, 2, new PoolEvent.EntryMessageReceived(link.contact, link.number, message));
        }
    }

    void sendToEntry(SimulatedVm from, PoolEffect.SendToEntry effect) {
        SimulatedLink link = from.entryLinks.get(effect.vm());
        if (link != null && isOpenAtVm(link) && !link.silent && !isCut(link)) {
            simulation.deliver(
                    link.vm,
                    2,
                    new PoolEvent.OwnerMessageReceived(
                            from.contact.address(), link.opened().link(), effect.message()));
        }
    }

    private static boolean isOpenAtVm(SimulatedLink link) {
        return link.vm.isCurrentStart(link.vmStartNumber) && link.vm.link == link;
    }

    private boolean isCut(SimulatedLink link) {
        return simulation.isCut(link.contact.address(), link.target());
    }
}
