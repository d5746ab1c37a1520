package org.gooseberrypier.server.peer;

import java.util.List;

import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.peer.PlacementMessage;
import org.gooseberrypier.peer.PlacementMessage.CreditTotals;
import org.gooseberrypier.protocol.PlacementMessageProto;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

public class PlacementMessageCodecTest {

    private static final List<CreditTotals> TOTALS =
            List.of(new CreditTotals(new EndpointId("e-1"), 3, 9, 4), new CreditTotals(new EndpointId("e-2"), 4, 1, 0));

    @DataProvider
    public Object[][] messages() {
        return new Object[][] {
            {new PlacementMessage.CreditDemand(new WorkId("verify"), 12)},
            {new PlacementMessage.CreditGrant(TOTALS)},
            {new PlacementMessage.CreditReturn(TOTALS, List.of(new WorkId("verify")))},
            {new PlacementMessage.CreditRecall(new WorkId("verify"), 2)},
        };
    }

    @Test(dataProvider = "messages")
    public void messageSurvivesEncodingAndDecoding(PlacementMessage message) throws Exception {
        byte[] bytes = PlacementMessageCodec.toProto(message).toByteArray();
        assertEquals(PlacementMessageCodec.fromProto(PlacementMessageProto.parseFrom(bytes)), message);
    }

    @Test
    public void messageOfUnknownKindIsRefused() {
        assertThrows(
                IllegalArgumentException.class,
                () -> PlacementMessageCodec.fromProto(PlacementMessageProto.getDefaultInstance()));
    }
}
