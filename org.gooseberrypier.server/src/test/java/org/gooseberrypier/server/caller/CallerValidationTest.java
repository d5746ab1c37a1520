package org.gooseberrypier.server.caller;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.server.testing.TestVm;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class CallerValidationTest {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TASK = "{'id':'a','body':'x'}";
    private static final String UUID_V7_OF_2286 = "0918a1d5-7000-7000-8000-000000000000";

    private TestVm vm;

    @BeforeClass
    public void setUp() {
        vm = new TestVm(s -> {});
    }

    @AfterClass
    public void tearDown() {
        vm.close();
    }

    @DataProvider
    public Object[][] malformedJobs() {
        return new Object[][] {
            {"", "body"},
            {"{", "not JSON"},
            {"[]", "a JSON object"},
            {"{'team':'koda','team':'koda'}", "not JSON"},
            {job("'team':'koda'", "'x':1") + "{}", "not JSON"},
            {job("'work':'verify','deadlineMs':1", "'tasks':[" + TASK + "]"), "team: missing"},
            {jobWith("'team':7"), "team: 7"},
            {jobWith("'team':''"), "team: \"\""},
            {jobWith("'team':'two words'"), "team: \"two words\""},
            {jobWith("'team':'m\u00f5ju'"), "visible ASCII"},
            {jobWith("'work':null"), "work: null"},
            {jobWith("'deadlineMs':0"), "deadlineMs: 0 is not allowed; allowed: an integer from 1 to 600000"},
            {jobWith("'deadlineMs':600001"), "deadlineMs"},
            {jobWith("'deadlineMs':1.5"), "deadlineMs: 1.5"},
            {jobWith("'deadlineMs':'5'"), "deadlineMs"},
            {jobWith("'deadlineMs':99999999999999999999"), "deadlineMs"},
            {jobWith("'repeatable':'yes'"), "repeatable"},
            {jobWith("'priority':1"), "priority: unknown field; allowed: deadlineMs, repeatable, tasks, team, work"},
            {jobWith("'tasks':[]"), "tasks: a list of 0"},
            {jobWith("'tasks':{}"), "tasks"},
            {jobWith("'tasks':[1]"), "tasks[0]"},
            {jobWith("'tasks':[{'body':'x'}]"), "tasks[0].id: missing"},
            {jobWith("'tasks':[{'id':'a'}]"), "tasks[0].body: missing"},
            {jobWith("'tasks':[{'id':'a','body':1}]"), "tasks[0].body: 1"},
            {jobWith("'tasks':[{'id':'a','body':'x','bodyBase64':'eA=='}]"), "tasks[0].body: given twice"},
            {jobWith("'tasks':[{'id':'a','bodyBase64':'%'}]"), "tasks[0].bodyBase64"},
            {jobWith("'tasks':[" + TASK + "," + TASK + "]"), "tasks[1].id: \"a\" is not allowed; allowed: each id once"
            },
            {jobWith("'tasks':[{'id':'a','body':'x','declaredMs':-1}]"), "tasks[0].declaredMs: -1"},
            {jobWith("'tasks':[{'id':'a','body':'x','cores':0.0001}]"), "tasks[0].cores"},
            {jobWith("'tasks':[{'id':'a','body':'x','cores':5000}]"), "tasks[0].cores"},
            {jobWith("'tasks':[{'id':'a','body':'x','memoryMb':1.5}]"), "tasks[0].memoryMb"},
            {jobWith("'tasks':[{'id':'a','body':'x','accelerators':-2}]"), "tasks[0].accelerators"},
            {jobWith("'tasks':[{'id':'a\\r\\nb','body':'x'}]"), "tasks[0].id"},
            {jobWith("'tasks':[{'id':'a','body':'x','gpu':1}]"), "tasks[0].gpu: unknown field"},
        };
    }

    @Test(dataProvider = "malformedJobs")
    public void aMalformedJobIsRefusedByNamingTheField(String body, String expectedText) throws Exception {
        assertRefused(vm.submit(body.replace('\'', '"')), expectedText);
    }

    @DataProvider
    public Object[][] malformedHeaders() {
        return new Object[][] {
            {Map.of("Idempotency-Key", "two words"), "Idempotency-Key"},
            {Map.of("Idempotency-Key", "k".repeat(129)), "Idempotency-Key"},
            {Map.of("Home-Zone", "tartu-a"), "Home-Zone: only allowed together with Idempotency-Key"},
            {Map.of("Submission-Time", "1"), "Submission-Time: only allowed together with Idempotency-Key"},
            {Map.of("Idempotency-Key", "k", "Submission-Time", "yesterday"), "Submission-Time: \"yesterday\""},
            {Map.of("Idempotency-Key", "k", "Submission-Time", "-1"), "Submission-Time"},
            {Map.of("Idempotency-Key", "k", "Submission-Time", "99999999999999"), "not in the future"},
            {Map.of("Idempotency-Key", "k", "Home-Zone", "a b"), "Home-Zone"},
            {Map.of("Idempotency-Key", UUID_V7_OF_2286), "a UUIDv7 whose time is not in the future"},
            {
                Map.of("Idempotency-Key", "018a1d57-0000-7000-8000-000000000000", "Submission-Time", "1"),
                "the time that the key holds"
            },
        };
    }

    @Test(dataProvider = "malformedHeaders")
    public void aMalformedHeaderIsRefusedByNamingIt(Map<String, String> headers, String expectedText) throws Exception {
        assertRefused(TestVm.await(vm.call("POST", "/v1/jobs", headers, TestVm.job(1))), expectedText);
    }

    @DataProvider
    public Object[][] malformedRequests() {
        Map<String, String> requiredHeaders = Map.of("Team", "koda", "Deadline-Ms", "100");
        return new Object[][] {
            {"POST", "/v1/requests/verify", Map.of("Deadline-Ms", "100"), "Team: missing"},
            {"POST", "/v1/requests/verify", Map.of("Team", "koda"), "Deadline-Ms: missing"},
            {"POST", "/v1/requests/verify", Map.of("Team", "koda", "Deadline-Ms", "0"), "Deadline-Ms: \"0\""},
            {"POST", "/v1/requests/", requiredHeaders, "work"},
            {"POST", "/v1/requests/a%20b", requiredHeaders, "work"},
            {"POST", "/v1/requests/%zz", requiredHeaders, "request target"},
            {
                "POST",
                "/v1/requests/verify",
                Map.of("Team", "koda", "Deadline-Ms", "100", "Repeatable", "maybe"),
                "Repeatable"
            },
            {"GET", "/v1/jobs/k", Map.of(), "Team: missing"},
            {"DELETE", "/v1/jobs/k?team=a%20b", Map.of(), "team"},
            {"GET", "/v1/jobs/a%20b?team=koda", Map.of(), "key"},
        };
    }

    @Test(dataProvider = "malformedRequests")
    public void aMalformedRequestIsRefusedByNamingTheField(
            String method, String path, Map<String, String> headers, String expectedText) throws Exception {
        assertRefused(TestVm.await(vm.call(method, path, headers, "")), expectedText);
    }

    @Test
    public void otherResourcesAndMethodsAreRefused() {
        assertEquals(TestVm.await(vm.call("GET", "/v2/jobs", Map.of(), "")).status(), 404);
        assertEquals(TestVm.await(vm.call("PUT", "/v1/jobs", Map.of(), "")).status(), 405);
        assertEquals(TestVm.await(vm.call("POST", "/v1/jobs/k", Map.of(), "")).status(), 405);
    }

    @Test
    public void aWellFormedJobReachesTheCore() {
        String job = jobWith("'repeatable':true,'tasks':[{'id':'a','body':'','declaredMs':5,"
                        + "'cores':0.125,'memoryMb':64,'accelerators':1}]")
                .replace('\'', '"');
        HttpReply keyless = vm.submit(job);
        assertEquals(keyless.status(), 503, keyless.text());
        Map<String, String> headers =
                Map.of("Idempotency-Key", "018a1d57-0000-7000-8000-000000000000", "Home-Zone", "tartu-a");
        HttpReply keyed = TestVm.await(vm.call("POST", "/v1/jobs", headers, job));
        assertTrue(keyed.status() == 503 || keyed.status() == 504, keyed.text());
    }

    private static void assertRefused(HttpReply reply, String expectedText) throws Exception {
        assertEquals(reply.status(), 400, reply.text());
        assertEquals(reply.header("content-type").orElse(""), "application/problem+json");
        JsonNode problem = MAPPER.readTree(reply.body());
        assertTrue(problem.path("detail").textValue().contains(expectedText), reply.text());
        assertEquals(problem.path("outcome").textValue(), "not-run");
        assertEquals(problem.path("next").textValue(), "correct-request");
    }

    /** Formats a valid job in which the given fields replace or extend the valid ones. */
    private static String jobWith(String changed) {
        StringBuilder fields = new StringBuilder(changed);
        String[][] valid = {
            {"team", "'koda'"}, {"work", "'verify'"}, {"deadlineMs", "1000"}, {"tasks", "[" + TASK + "]"}
        };
        for (String[] v : valid) {
            if (!changed.contains("'" + v[0] + "'")) {
                fields.append(",'").append(v[0]).append("':").append(v[1]);
            }
        }
        return "{" + fields + "}";
    }

    private static String job(String... fields) {
        return "{" + String.join(",", fields) + "}";
    }
}
