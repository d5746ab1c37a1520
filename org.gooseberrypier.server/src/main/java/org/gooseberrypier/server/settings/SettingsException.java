package org.gooseberrypier.server.settings;

import java.io.IOException;
import java.util.List;

/** Thrown if settings are invalid; the message has one line for each error. */
public final class SettingsException extends IOException {

    private static final long serialVersionUID = 1L;

    private final transient List<String> errors;

    /**
     * Creates an exception.
     *
     * @param errors the errors, each with the setting, its value and the allowed values
     */
    public SettingsException(List<String> errors) {
        super(String.join("\n", errors));
        this.errors = List.copyOf(errors);
    }

    /**
     * Returns the errors.
     *
     * @return one line for each error
     */
    public List<String> errors() {
        return errors;
    }
}
