package org.gooseberrypier.server.audit;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberrypier.effect.AuditEntry;
import org.gooseberrypier.lib.Member;

/** Formats audit records as JSON. */
final class AuditFormat {

    private AuditFormat() {}

    static String format(Member self, List<AuditRecord> records) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("vm", self.vm().name());
        json.put("incarnation", Long.toHexString(self.incarnation()));
        ArrayNode entries = json.putArray("entries");
        for (AuditRecord r : records) {
            AuditEntry e = r.entry();
            entries.addObject()
                    .put("sequence", r.sequence())
                    .put("atMs", e.atMs())
                    .put("kind", e.kind().name())
                    .put("subject", e.subject())
                    .put("ticket", e.ticket())
                    .put("detail", e.detail());
        }
        return json.toString();
    }
}
