package org.gooseberrypier.internal.placement;

import java.nio.charset.StandardCharsets;
import java.util.Collection;

import org.apache.commons.codec.digest.MurmurHash3;
import org.gooseberrypier.lib.VmId;

/** Assigns each key to one VM of a set; when a VM is added or removed, only the keys of that VM move. */
final class RendezvousHash {

    private RendezvousHash() {}

    /** Returns the VM of a key; null if the set is empty. */
    static VmId choose(String key, Collection<VmId> vms) {
        VmId best = null;
        long bestScore = 0;
        for (VmId v : vms) {
            long score = score(key, v);
            boolean better = best == null || score > bestScore || score == bestScore && v.compareTo(best) < 0;
            if (better) {
                best = v;
                bestScore = score;
            }
        }
        return best;
    }

    private static long score(String key, VmId vm) {
        byte[] bytes = (key + '\n' + vm.name()).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes)[0];
    }
}
