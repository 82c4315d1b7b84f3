import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An upkeep order gets no answer and is carried out late, and the node that sent it is killed
 * meanwhile. The wave permits one machine at a time to be down.
 */
final class Case10 {
    private static final int WORKERS = 8;
    private static final int WAVE_MACHINES = 8;
    private static final int WAVE_CAP = 1;
    private static final int WAVE_SECONDS = 70;
    private static final int LEAST_LATE_MILLIS = 2_000;
    private static final int MOST_LATE_MILLIS = 12_000;
    private static final int KILL_AFTER_MILLIS = 300;

    /** Keeps about a quarter of the room in use. */
    private static void load(Bench bench) {
        try {
            while (true) {
                String spec = "ms=2000 spread=50";
                bench.submit("model", bench.newJobId(), spec, List.of(Bench.step(1, 8_000, 2_048, 2_000)));
                Thread.sleep(125);
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Carries the order out while another machine is down for its upkeep, if one is in time. */
    private static void carryOutLate(Bench bench, Http.Request request) {
        Worker.sleep(LEAST_LATE_MILLIS);
        for (int late = LEAST_LATE_MILLIS; late < MOST_LATE_MILLIS; late += 50) {
            if (bench.cloud.upkeepsNow() > 0) {
                break;
            }
            Worker.sleep(50);
        }
        bench.cloud.carryOut(request, true);
    }

    public static void main(String[] arguments) throws Exception {
        Bench.quiet = true;
        Bench bench = new Bench(arguments);
        bench.configure(List.of(new Bench.Queue("model", "lab", 4)), List.of("lab"), 0);
        for (int i = 0; i < WORKERS; i++) {
            bench.addWorker(i, "lab", "a", 64_000);
        }
        bench.startNodes(3);
        Thread.sleep(5_000);
        AtomicInteger orders = new AtomicInteger();
        Http.daemon("load", () -> load(bench));
        Thread.sleep(2_000);
        if (bench.trouble) {
            bench.cloud.setTamper(
                    request -> {
                        boolean upkeep = request.path().equals("/v1/machine-upkeep");
                        if (!upkeep || orders.incrementAndGet() != 2) {
                            return false;
                        }
                        bench.record.add("order without an answer: %s", request.body());
                        Http.daemon(
                                "late",
                                () -> {
                                    carryOutLate(bench, request);
                                });
                        Http.daemon(
                                "kill",
                                () -> {
                                    Worker.sleep(KILL_AFTER_MILLIS);
                                    bench.kill(bench.owner(), 3_500);
                                });
                        return true;
                    });
        }
        List<Object> machines = new ArrayList<>();
        for (int i = 1; i <= WAVE_MACHINES; i++) {
            machines.add("m-" + i);
        }
        Map<String, Object> wave =
                Json.map(
                        "wave", 1,
                        "machines", machines,
                        "durationS", WAVE_SECONDS,
                        "cap", WAVE_CAP);
        bench.store.put("op", "wave/1", wave);
        bench.record.add("operator: %s", Json.write(wave));
        Bench.await(
                WAVE_SECONDS * 1_000,
                () -> bench.store.text("status", "", "wave/1").contains("completed"));
        Thread.sleep(3_000);
        bench.record.add("status/wave/1: %s", bench.store.text("status", "", "wave/1"));
        bench.addLogs(40, "event=maintenance", "event=term_");
        int most = 0;
        String at = "";
        for (Cloud.Upkeep one : bench.cloud.upkeeps) {
            long down =
                    bench.cloud.upkeeps.stream()
                            .filter(u -> u.start() <= one.start() && u.end() > one.start())
                            .count();
            if (down > most) {
                most = (int) down;
                at = String.format("%.3f", one.start());
            }
        }
        int begun = bench.cloud.upkeeps.size();
        if (most > WAVE_CAP) {
            bench.finish(1, "%d machines of the wave are down at %s s, %d may be", most, at, WAVE_CAP);
        }
        bench.finish(
                begun == WAVE_MACHINES ? 0 : 2,
                "%d upkeeps, at most %d at a time",
                begun,
                most);
    }
}
