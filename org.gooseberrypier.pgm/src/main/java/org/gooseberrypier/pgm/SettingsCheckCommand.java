package org.gooseberrypier.pgm;

import java.io.IOException;
import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import org.gooseberrypier.server.settings.Settings;

/** Checks a settings file and prints it with all defaults. */
@Parameters(commandDescription = "Check a settings file and print it with all defaults")
final class SettingsCheckCommand implements Command {

    @Parameter(description = "the settings file", required = true, converter = PathConverter.class)
    private Path file;

    @Override
    public int call() {
        try {
            System.out.println(Settings.read(file).render());
            return ExitCode.OK;
        } catch (IOException | IllegalArgumentException e) {
            System.err.println(file + ": " + e.getMessage());
            return ExitCode.USAGE;
        }
    }
}
