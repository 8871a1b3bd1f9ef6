import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Six control hosts of which two may be lost at once. Two of them lose their disks after a
 * configuration was acknowledged. Arguments: the file of the record, and whether disks are lost.
 */
public final class LostDisksCase {

  private static final int TOLERATED_MACHINES = 2;
  private static final int DOWN_MILLIS = 1_300;
  private static final int RECOVERY_MILLIS = 15_000;
  private static final int READING_MILLIS = 20_000;

  private LostDisksCase() {}

  public static void main(String[] arguments) throws Exception {
    boolean loses = Boolean.parseBoolean(arguments[1]);
    int exit = 2;
    try (Fleet fleet = new Fleet(Path.of(arguments[0]), 2, TOLERATED_MACHINES)) {
      exit = play(fleet, loses);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }

  private static int play(Fleet fleet, boolean loses) throws Exception {
    fleet.startAll();
    fleet.putConfiguration(configuration(1), 20_000);
    for (Fleet.Host host : fleet.entryHosts()) {
      awaitConfiguration(fleet, host);
    }
    Thread.sleep(15_000);
    Fleet.Host acknowledging = fleet.putConfiguration(configuration(2), 8_000);
    if (loses) {
      fleet.loseDisk(disksToLose(fleet, acknowledging), DOWN_MILLIS);
    }
    Thread.sleep(RECOVERY_MILLIS);
    return check(fleet);
  }

  /** Returns the host that acknowledged and another one that its settings name as a seed. */
  private static List<Fleet.Host> disksToLose(Fleet fleet, Fleet.Host acknowledging) {
    List<Fleet.Host> lost = new ArrayList<>(List.of(acknowledging));
    for (Fleet.Host host : fleet.controlHosts()) {
      if (lost.size() < TOLERATED_MACHINES && !lost.contains(host)) {
        lost.add(host);
      }
    }
    return lost;
  }

  /** Waits until a request on the route is no longer refused for lack of a configuration. */
  private static void awaitConfiguration(Fleet fleet, Fleet.Host host) throws Exception {
    for (int i = 0; i < 200; i++) {
      Fleet.Response response =
          Fleet.call(
              fleet.callerAddress(host), "GET", "/lohu930/", "nony24.example", "", "", 1_000);
      if (response.status() == 200) {
        return;
      }
      Thread.sleep(100);
    }
    throw new IllegalStateException(host.name() + " has no configuration");
  }

  /** Reads the configuration back at all control hosts, again and again. */
  private static int check(Fleet fleet) throws Exception {
    int reads = 0;
    int whole = 0;
    long end = fleet.millis() + READING_MILLIS;
    while (fleet.millis() < end) {
      for (Fleet.Host host : fleet.controlHosts()) {
        Fleet.Response response =
            Fleet.call(
                fleet.controlAddress(host), "GET", "/-/configuration", "", "", "", 1_000);
        fleet.log(
            "operator",
            "GET /-/configuration at %s: %d %s"
                .formatted(host.name(), response.status(), firstCharacters(response.body())));
        reads++;
        whole += response.status() == 200 && response.body().equals(configuration(2)) ? 1 : 0;
      }
      Thread.sleep(1_000);
    }
    fleet.log("check", whole + " of " + reads + " reads returned the acknowledged configuration");
    int put = 0;
    for (Fleet.Host host : fleet.controlHosts()) {
      put +=
          Fleet.call(
                          fleet.controlAddress(host),
                          "PUT",
                          "/-/configuration",
                          "",
                          "",
                          configuration(3),
                          1_000)
                      .status()
                  == 200
              ? 1
              : 0;
    }
    fleet.log("check", put + " of 6 control hosts acknowledged a further configuration");
    if (whole == 0) {
      fleet.log("check", "CONFIG is broken");
      return 1;
    }
    fleet.log("check", "the rule held");
    return 0;
  }

  private static String firstCharacters(String text) {
    return text.substring(0, Math.min(14, text.length()));
  }

  private static String configuration(int version) {
    return """
        {"version":%d,"routes":[{"name":"r-1","host":"nony24.example","path_prefix":"/lohu930/",\
        "kind":"unsafe","timeout_ms":1500,"target_latency_ms":60,"priority":0,\
        "service":"huvo11a","max_attempts":4,"stretch":1.6}],"services":[{"name":"huvo11a",\
        "health_path":"/health","max_connections":64,"protocol":"h1","tls":false,\
        "enforces_capacity":true,"standby":false}],"limits":{"max_header_bytes":16384,\
        "max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"""
        .formatted(version);
  }
}
