import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The hosts of one zone neither send nor receive for a minute; afterwards the configuration
 * changes. Arguments: the file of the record, and whether the zone falls silent.
 */
public final class SilentZoneCase {

  private static final String FIRST_ROUTE =
      """
      {"name":"r-1","host":"nony24.example","path_prefix":"/lohu930/","kind":"unsafe",\
      "timeout_ms":1500,"target_latency_ms":60,"priority":0,"service":"huvo11a",\
      "max_attempts":4,"stretch":1.6}""";

  private static final String ADDED_ROUTE =
      """
      {"name":"r-2","host":"ficu95.example","path_prefix":"/pufi791/","kind":"unsafe",\
      "timeout_ms":1500,"target_latency_ms":60,"priority":0,"service":"huvo11a",\
      "max_attempts":4,"stretch":1.6}""";

  private static final int SILENCE_MILLIS = 63_000;
  private static final int CONTACT_MILLIS = 3_000;
  private static final int CONFIG_APPLY_MILLIS = 2_000;
  private static final int MARGIN_MILLIS = 2_000;
  private static final int ROUNDS = 3;
  private static final int PATIENCE_MILLIS = 2_500;

  private SilentZoneCase() {}

  public static void main(String[] arguments) throws Exception {
    boolean silent = Boolean.parseBoolean(arguments[1]);
    int exit = 2;
    try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
      exit = play(fleet, silent);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }

  private static int play(Fleet fleet, boolean silent) throws Exception {
    fleet.startAll();
    fleet.putConfiguration(configuration(1, FIRST_ROUTE), 20_000);
    try (Runners runners = new Runners(fleet, "huvo11a", 6)) {
      for (Fleet.Host host : fleet.entryHosts()) {
        fleet.awaitReady(host, 20_000);
      }
      Thread.sleep(4_000);
      List<Fleet.Host> zone = List.of(fleet.controlHosts().get(1), fleet.entryHosts().get(1));
      signal(fleet, zone, "STOP", silent);
      Thread.sleep(SILENCE_MILLIS);
      signal(fleet, zone, "CONT", silent);
      Thread.sleep(CONTACT_MILLIS + MARGIN_MILLIS);
      fleet.putConfiguration(configuration(2, FIRST_ROUTE + "," + ADDED_ROUTE), 8_000);
      Thread.sleep(CONFIG_APPLY_MILLIS + MARGIN_MILLIS);
      return check(fleet, silent);
    }
  }

  private static void signal(Fleet fleet, List<Fleet.Host> zone, String signal, boolean silent)
      throws Exception {
    if (silent) {
      for (Fleet.Host host : zone) {
        fleet.signal(host, signal);
      }
    }
  }

  /** Sends requests on the added route to every entry host; a 404 is what the old version allows. */
  private static int check(Fleet fleet, boolean silent) throws Exception {
    List<String> broken = new ArrayList<>();
    int served = 0;
    for (int request = 0; request < ROUNDS * fleet.entryHosts().size(); request++) {
      Fleet.Host host = fleet.entryHosts().get(request % fleet.entryHosts().size());
      int ready =
          Fleet.call(fleet.readinessAddress(host), "GET", "/-/ready", "", "", "", 1_000).status();
      Fleet.Response response = post(fleet, host, "%016x".formatted(0x5c0e7a21d94b3600L + request));
      fleet.log(
          "client",
          "POST on the added route at %s (ready: %d) is answered %d %s"
              .formatted(host.name(), ready, response.status(), response.body()));
      served += response.status() == 200 ? 1 : 0;
      if (response.status() == 404) {
        broken.add(host.name());
      }
      Thread.sleep(500);
    }
    fleet.log("check", "handled as only the older version allows: " + broken);
    for (Fleet.Host host : fleet.entryHosts()) {
      long gained =
          fleet.logLines(host).stream().filter(line -> line.contains("event=role-gained")).count();
      fleet.log("check", host.name() + " claimed the dispatcher's role " + gained + " times");
    }
    if (!broken.isEmpty()) {
      fleet.log("check", "CONFIG is broken");
      return 1;
    }
    if (!silent && served < ROUNDS * fleet.entryHosts().size()) {
      return 2;
    }
    fleet.log("check", "the rule held");
    return 0;
  }

  private static Fleet.Response post(Fleet fleet, Fleet.Host host, String id) {
    String job =
        """
        {"specification":"100","best_effort":true,"steps":[{"count":1,"cpu":7000,\
        "requested_memory_mb":64,"estimated_ms":100}]}""";
    return Fleet.call(
        fleet.callerAddress(host),
        "POST",
        "/pufi791/" + id,
        "ficu95.example",
        "Deadline-Ms: " + PATIENCE_MILLIS + "\r\n",
        job,
        PATIENCE_MILLIS);
  }

  private static String configuration(int version, String routes) {
    return """
        {"version":%d,"routes":[%s],"services":[{"name":"huvo11a","health_path":"/health",\
        "max_connections":64,"protocol":"h1","tls":false,"enforces_capacity":true,\
        "standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,\
        "header_timeout_ms":3000,"idle_timeout_ms":15000}}"""
        .formatted(version, routes);
  }
}
