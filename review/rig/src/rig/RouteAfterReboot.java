package rig;

import java.util.List;

/** Case of ROUTE: a minion crashes and starts again under its id as another kind, while jobs come that need the first kind. */
final class RouteAfterReboot {

    private static final long TRAFFIC_MS = 75_000;
    private static final long DOWN_MS = 1_000;
    private static final long PAUSE_MS = 2_500;
    private static final String KIND = "a";
    private static final String OTHER_KIND = "b";

    private RouteAfterReboot() {}

    public static void main(String[] args) throws Exception {
        Rig rig = Rig.open(args[0], 6, 8, 1_400, KIND, KIND, OTHER_KIND);
        long endMs = Trace.nowMs() + TRAFFIC_MS;
        Traffic traffic = new Traffic(rig, KIND, 25, TRAFFIC_MS, 5_000);
        Thread.sleep(3_000);
        for (int i = 0; Trace.nowMs() < endMs - 2 * DOWN_MS; i++) {
            Minion m = rig.minions.get(i % 2);
            if (rig.trouble) {
                String kind = m.labels().get(0).equals(KIND) ? OTHER_KIND : KIND;
                m.crash();
                Thread.sleep(DOWN_MS);
                m.boot(List.of(kind, m.labels().get(1)));
            }
            Thread.sleep(PAUSE_MS);
        }
        traffic.await();
        rig.finish(
                "ROUTE",
                rig.runs().stream()
                        .filter(r -> !r.labels.contains(KIND))
                        .map(Minion.Run::toString)
                        .toList());
    }
}
