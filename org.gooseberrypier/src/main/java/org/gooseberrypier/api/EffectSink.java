package org.gooseberrypier.api;

import org.gooseberrypier.effect.Effect;

/** Receives the effects of a core on the core's thread; it must not block. */
@FunctionalInterface
public interface EffectSink {

    /**
     * Receives one effect.
     *
     * @param effect the effect to perform
     */
    void accept(Effect effect);
}
