package org.gooseberrypier.pgm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.ticket.TicketVerdict;

/** Reads ticket files. */
final class TicketFiles {

    private TicketFiles() {}

    static Payload read(Path file) throws IOException {
        long size = Files.size(file);
        if (size > TicketVerdict.MAX_RECORD_BYTES) {
            throw new IOException(size + " bytes exceed the limit of " + TicketVerdict.MAX_RECORD_BYTES);
        }
        return Payload.wrap(Files.readAllBytes(file));
    }
}
