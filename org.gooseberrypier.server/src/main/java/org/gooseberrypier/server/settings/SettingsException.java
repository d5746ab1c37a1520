package org.gooseberrypier.server.settings;

import java.io.IOException;
import java.util.List;

/** Settings that are not valid; the message has one line for each fault. */
public final class SettingsException extends IOException {

    private static final long serialVersionUID = 1L;

    private final transient List<String> faults;

    /**
     * Creates the error.
     *
     * @param faults what is wrong, each naming the setting, its value and what is allowed
     */
    public SettingsException(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns what is wrong.
     *
     * @return one line for each fault
     */
    public List<String> errors() {
        return faults;
    }
}
