package org.gooseberrypier.pgm;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.gooseberrypier.platform.PlatformSettings;

/** Checks a settings file of the users' platform and prints the settings that a VM reads from it. */
@Parameters(commandDescription = "Check a settings file of the users' platform and print the settings that are used")
final class PlatformCheckCommand implements Command {

    @Parameter(description = "FILE")
    private List<Path> files = new ArrayList<>();

    @Override
    public int call() {
        if (files.size() != 1) {
            throw new ParameterException("exactly one settings file is required");
        }
        try {
            System.out.println(PlatformSettings.read(files.get(0)));
            return ExitCode.OK;
        } catch (IOException | IllegalArgumentException e) {
            System.err.println(files.get(0) + ": " + e.getMessage());
            return ExitCode.USAGE;
        }
    }
}
