package org.gooseberrypier.load.run;

import java.util.OptionalDouble;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberrypier.load.client.JobOutcome;

/** Converts reports to JSON; a value that no VM counted is null. */
public final class ReportJson {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double P50 = 0.5;
    private static final double P99 = 0.99;
    private static final double P999 = 0.999;
    private static final double P99_PERCENT = 99;
    private static final double DECIMALS = 1e4;

    private ReportJson() {}

    /**
     * Converts a report.
     *
     * @param report the report
     * @return a JSON object
     */
    public static ObjectNode format(RunReport report) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("tasks", report.tasks());
        json.put("jobs", report.jobs());
        json.put("starts", report.starts());
        json.put("complete", report.outcomes(JobOutcome.Kind.COMPLETE));
        json.put("failed", report.outcomes(JobOutcome.Kind.FAILED));
        json.put("not_run", report.outcomes(JobOutcome.Kind.NOT_RUN));
        json.put("unknown", report.outcomes(JobOutcome.Kind.UNKNOWN));
        json.put("started_twice", report.guarantees().startedTwice());
        json.put("partial_answers", report.guarantees().partialAnswers());
        json.put("wrong_caller", report.guarantees().wrongCaller());
        json.put("not_run_but_ran", report.guarantees().notRunButRan());
        json.set("response_over_ideal", ratios(report.responseOverIdeal()));
        json.set("response_over_own_ideal", ratios(report.responseOverOwnIdeal()));
        json.set("reference_over_ideal", ratios(report.referenceOverIdeal()));
        json.put("in_time_share_of_accepted", round(report.inTimeShare()));
        json.put("refusal_ms_p99", report.refusalMs().getValueAtPercentile(P99_PERCENT));
        json.put("failed_starts_per_task", perTask(report, report.failedStarts()));
        json.set("wasted_messages_per_task", waste(report));
        put(json, "coordination_messages_per_task", perTask(report, coordinationMessages(report)));
        put(
                json,
                "control_bytes_per_second_per_vm",
                perVm(report, report.metrics().sum("peer_bytes_sent")));
        return json;
    }

    /**
     * Converts the results of the demonstration.
     *
     * @param result the result
     * @return a JSON object with the fields of a report and those of the demonstration
     */
    public static ObjectNode format(DemoResult result) {
        ObjectNode json = format(result.report());
        json.put("ticket_in_force_ms", result.ticketInForceMs());
        json.put("race_in_force_ms", result.raceInForceMs());
        json.put("race_winners", result.raceWinners());
        json.put("replacement_in_force_ms", result.replacementInForceMs());
        json.put("stopped_gracefully", result.stoppedGracefully());
        json.put("starts_on_leaving_endpoint", result.startsOnLeaving());
        ObjectNode guarantees = json.putObject("promises");
        result.guarantees().forEach(guarantees::put);
        return json;
    }

    private static OptionalDouble coordinationMessages(RunReport report) {
        return report.metrics().sum("peer_messages_sent");
    }

    private static ObjectNode ratios(RatioHistogram h) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("mean", round(h.mean()));
        json.put("p50", h.quantile(P50));
        json.put("p99", h.quantile(P99));
        json.put("p999", h.quantile(P999));
        return json;
    }

    private static ObjectNode waste(RunReport report) {
        WasteCount w = report.waste();
        OptionalDouble dropped = report.metrics().sum("core_wasted_late", "core_answers_dropped");
        ObjectNode json = MAPPER.createObjectNode();
        json.put("duplicate", perTask(report, w.duplicate()));
        json.put("refused", perTask(report, w.refused()));
        json.put("repeated", perTask(report, w.repeated()));
        put(json, "late_or_dropped", perTask(report, dropped));
        json.put("caller_gone", perTask(report, w.callerGone()));
        json.put("past_deadline", perTask(report, w.pastDeadline()));
        json.put("total", perTask(report, w.sum() + dropped.orElse(0)));
        return json;
    }

    private static OptionalDouble perTask(RunReport report, OptionalDouble amount) {
        return amount.isPresent() ? OptionalDouble.of(perTask(report, amount.getAsDouble())) : amount;
    }

    private static double perTask(RunReport report, double amount) {
        return round(amount / Math.max(1, report.tasks()));
    }

    private static OptionalDouble perVm(RunReport report, OptionalDouble amount) {
        return amount.isPresent()
                ? OptionalDouble.of(round(
                        amount.getAsDouble() / Math.max(1, report.metrics().vmSeconds())))
                : amount;
    }

    private static void put(ObjectNode json, String name, OptionalDouble value) {
        if (value.isPresent()) {
            json.put(name, value.getAsDouble());
        } else {
            json.putNull(name);
        }
    }

    private static double round(double value) {
        return Math.round(value * DECIMALS) / DECIMALS;
    }
}
