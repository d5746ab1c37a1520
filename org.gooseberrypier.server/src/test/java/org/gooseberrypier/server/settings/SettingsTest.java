package org.gooseberrypier.server.settings;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

public class SettingsTest {

    private static final String REQUIRED = "'vm':'ada','zone':'tartu-a','callerAddress':'127.0.0.1:8080',"
            + "'operatorAddress':'127.0.0.1:8081','peerAddress':'[::1]:8082','platformAddress':'127.0.0.1:8083'";

    @Test
    public void missingSettingsGetTheirDefaults() throws Exception {
        Settings settings = parse("{" + REQUIRED + "}");
        assertEquals(settings.placement(), "credits");
        assertEquals(settings.callers().listener().maxHeaderBytes(), 16_384);
        assertEquals(settings.peers().silentTimeoutMs(), 2_000);
        assertEquals(settings.stop().workTimeoutMs(), 30_000);
    }

    @Test
    public void aFileCanChangeOneSettingOfAGroup() throws Exception {
        Settings settings = parse("{" + REQUIRED + ",'callers':{'listener':{'idleTimeoutMs':500}}}");
        assertEquals(settings.callers().listener().idleTimeoutMs(), 500);
        assertEquals(settings.callers().maxCalls(), 50_000);
    }

    @Test
    public void renderedSettingsParseToEqualSettings() throws Exception {
        Settings settings = parse("{" + REQUIRED + ",'audit':{'flushMs':77}}");
        assertEquals(SettingsCodec.parse(settings.render().getBytes(StandardCharsets.UTF_8)), settings);
    }

    @Test
    public void readsAFile() throws Exception {
        Path file = Files.createTempFile("settings", ".json");
        try {
            Files.writeString(file, ("{" + REQUIRED + "}").replace('\'', '"'));
            assertEquals(Settings.read(file).vm(), "ada");
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void everyOptionalSettingHasADefaultInItsRange() throws Exception {
        JsonNode schema = new ObjectMapper().readTree(SettingsTest.class.getResource("settings-schema.json"));
        schema.findParents("minimum").forEach(s -> {
            long value = s.path("default").asLong(Long.MIN_VALUE);
            assertTrue(
                    value >= s.path("minimum").asLong()
                            && value <= s.path("maximum").asLong(),
                    s.toString());
        });
    }

    @DataProvider
    public Object[][] invalidFiles() {
        return new Object[][] {
            {"{'vm':", "not JSON"},
            {"[]", "object"},
            {"{}", "required property 'vm'"},
            {"{" + REQUIRED + ",'vm':'bea'}", "Duplicate"},
            {"{" + REQUIRED + ",'colour':'red'}", "'colour'"},
            {"{" + REQUIRED + ",'peers':{'pingMs':5}}", "/peers/pingMs 5: must have a minimum value of 10"},
            {"{" + REQUIRED + ",'peers':{'pongMs':50}}", "/peers"},
            {"{" + REQUIRED + ",'peers':{'pingMs':'50'}}", "/peers/pingMs \"50\": string found, integer expected"},
            {"{" + REQUIRED + ",'core':{'maxWaitingEvents':1000}}", "/core/maxWaitingEvents 1000: a power of two"},
            {"{" + REQUIRED.replace("127.0.0.1:8080", "localhost:8080") + "}", "/callerAddress \"localhost:8080\""},
            {"{" + REQUIRED.replace("'ada'", "'a b'") + "}", "/vm \"a b\""},
        };
    }

    @Test(dataProvider = "invalidFiles")
    public void anInvalidFileIsRefusedByNamingTheSetting(String json, String expectedText) {
        SettingsException e = expectThrows(SettingsException.class, () -> parse(json));
        assertTrue(e.getMessage().contains(expectedText), e.getMessage());
    }

    @Test
    public void allErrorsAreReportedTogether() {
        SettingsException e = expectThrows(
                SettingsException.class, () -> parse("{" + REQUIRED + ",'peers':{'pingMs':5,'maxBackoffMs':1}}"));
        assertEquals(e.errors().size(), 2, e.getMessage());
    }

    private static Settings parse(String json) throws SettingsException {
        return SettingsCodec.parse(json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }
}
