package org.gooseberrypier.standin.platform;

import java.io.IOException;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberrypier.http.HttpCall;

/** Handles requests that read or change the list of VMs. */
final class VmHandler {

    private final VmList vms;

    VmHandler(VmList vms) {
        this.vms = vms;
    }

    void list(HttpCall call, Faults faults) {
        Map<String, VmList.State> states = vms.at(System.currentTimeMillis() - faults.vmListLagMs());
        ObjectNode json = Replies.MAPPER.createObjectNode();
        ArrayNode live = json.putArray("live");
        ArrayNode leaving = json.putArray("leaving");
        for (Map.Entry<String, VmList.State> e : states.entrySet()) {
            live.add(e.getKey());
            if (e.getValue() == VmList.State.LEAVING) {
                leaving.add(e.getKey());
            }
        }
        Replies.ok(call, json);
    }

    void put(HttpCall call, String vm) throws BadRequestException {
        String state;
        try {
            JsonNode json = Replies.MAPPER.readTree(call.body());
            state = json.path("state").asText("live");
        } catch (IOException e) {
            throw new BadRequestException("the body is not JSON");
        }
        switch (state) {
            case "live" -> vms.set(vm, VmList.State.LIVE, System.currentTimeMillis());
            case "leaving" -> vms.set(vm, VmList.State.LEAVING, System.currentTimeMillis());
            default -> throw new BadRequestException("state: live or leaving is expected");
        }
        Replies.ok(call, Replies.MAPPER.createObjectNode());
    }

    void remove(HttpCall call, String vm) {
        vms.set(vm, VmList.State.REMOVED, System.currentTimeMillis());
        Replies.ok(call, Replies.MAPPER.createObjectNode());
    }
}
