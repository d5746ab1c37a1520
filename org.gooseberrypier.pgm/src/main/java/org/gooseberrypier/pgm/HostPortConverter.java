package org.gooseberrypier.pgm;

import com.beust.jcommander.ParameterException;
import com.beust.jcommander.converters.BaseConverter;
import org.gooseberrypier.http.HostPort;

/** Converts the value of an option to an address of IP number and port. */
public final class HostPortConverter extends BaseConverter<HostPort> {

    /**
     * Creates the converter.
     *
     * @param option the name of the option, for error messages
     */
    public HostPortConverter(String option) {
        super(option);
    }

    @Override
    public HostPort convert(String value) {
        try {
            return HostPort.parse(value);
        } catch (IllegalArgumentException e) {
            throw new ParameterException(getErrorString(value, "an address such as 127.0.0.1:8080"), e);
        }
    }
}
