package org.gooseberrypier.server.settings;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Builds settings programmatically, with the same checks and defaults as a settings file. */
public final class SettingsBuilder {

    private final ObjectNode json = JsonNodeFactory.instance.objectNode();

    SettingsBuilder(String vm, String zone) {
        json.put("vm", vm).put("zone", zone);
    }

    /**
     * Sets a top-level setting.
     *
     * @param name its name
     * @param value its value
     * @return this builder
     */
    public SettingsBuilder set(String name, String value) {
        json.put(name, value);
        return this;
    }

    /**
     * Sets a numeric setting of a group.
     *
     * @param group the name of the group
     * @param name the name of the setting
     * @param value its value
     * @return this builder
     */
    public SettingsBuilder set(String group, String name, long value) {
        json.withObject("/" + group).put(name, value);
        return this;
    }

    /**
     * Checks the settings and fills in the defaults.
     *
     * @return the settings
     * @throws IllegalArgumentException if the settings are invalid
     */
    public Settings build() {
        try {
            return SettingsCodec.parse(json);
        } catch (SettingsException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }
}
