package org.gooseberrypier.internal.placement;

import org.apache.commons.rng.UniformRandomProvider;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.InternalEvent;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.internal.engine.Timer;
import org.gooseberrypier.internal.engine.TimerAction;

/** Context whose timers place waiting tasks after their action has run, as the controller does after each event. */
final class PlacingContext implements Context {

    private final Context delegate;
    private final TimerAction placement;

    PlacingContext(Context delegate, TimerAction placement) {
        this.delegate = delegate;
        this.placement = placement;
    }

    boolean wraps(Context context) {
        return delegate == context;
    }

    @Override
    public long nowMs() {
        return delegate.nowMs();
    }

    @Override
    public void emit(Effect effect) {
        delegate.emit(effect);
    }

    @Override
    public void raise(InternalEvent event) {
        delegate.raise(event);
    }

    @Override
    public Timer schedule(long atMs, TimerAction action) {
        return delegate.schedule(atMs, c -> {
            action.run(this);
            placement.run(this);
        });
    }

    @Override
    public long nextId() {
        return delegate.nextId();
    }

    @Override
    public UniformRandomProvider random() {
        return delegate.random();
    }
}
