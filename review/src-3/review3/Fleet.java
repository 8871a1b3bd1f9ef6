package review3;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The project's processes on loopback addresses, started with the commands of the deploy file and
 * with settings like those of a small deployment: one core machine and some frontends in each of
 * three zones, and a number of runners.
 */
final class Fleet implements AutoCloseable {

  static final List<String> ZONES = List.of("za", "zb", "zc");
  static final String HOST = "desk.example";

  /** Bounds of the small sites. */
  static final long CANCEL_MILLIS = 3_000;

  static final long CONTACT_MILLIS = 3_000;
  static final long GRACE_MILLIS = 6_000;
  static final long LOSS_SLACK_MILLIS = 200;

  private static final int PORTS = 40;

  final class Machine {
    final String name;
    final String zone;
    final String ip;
    final boolean core;
    Process process;

    Machine(String name, String zone, String ip, boolean core) {
      this.name = name;
      this.zone = zone;
      this.ip = ip;
      this.core = core;
    }
  }

  final Record record;
  final List<Machine> core = new ArrayList<>();
  final List<Machine> fronts = new ArrayList<>();
  final List<Runner> runners = new ArrayList<>();

  /** All runs that a runner has begun, in the order of their beginning. */
  final List<Runner.Run> history = Collections.synchronizedList(new ArrayList<>());

  private final Path folder = Files.createTempDirectory("review3-");
  private final String subnet;
  private final int port;
  private final Map<String, List<String>> commands = new HashMap<>();
  private long version;

  private final long cpuOfTask;

  Fleet(Record record, int frontsPerZone, int runnerCount) throws IOException {
    this(record, frontsPerZone, runnerCount, 1_000);
  }

  /** Starts a fleet; all tasks take {@code cpuOfTask}, in thousandths of a core. */
  Fleet(Record record, int frontsPerZone, int runnerCount, long cpuOfTask) throws IOException {
    this.cpuOfTask = cpuOfTask;
    this.record = record;
    this.subnet = "127." + (20 + ProcessHandle.current().pid() % 200);
    this.port = freePorts();
    readCommands();
    int number = 0;
    for (String zone : ZONES) {
      core.add(new Machine("core-" + zone + "-1", zone, subnet + ".1." + ++number, true));
    }
    for (int i = 1; i <= frontsPerZone; i++) {
      for (String zone : ZONES) {
        fronts.add(new Machine("front-" + zone + "-" + i, zone, subnet + ".1." + ++number, false));
      }
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    for (Machine machine : machines()) {
      start(machine, true);
    }
    List<String> controlIps = core.stream().map(machine -> machine.ip).toList();
    for (int i = 0; i < runnerCount; i++) {
      runners.add(
          new Runner(
              "i-" + Integer.toHexString(0x7f3a90 + i), subnet + ".2." + (i + 1), port,
              ZONES.get(i % ZONES.size()), controlIps, controlPort(), cpuOfTask, record, history));
    }
  }

  List<Machine> machines() {
    return Stream.concat(core.stream(), fronts.stream()).toList();
  }

  int controlPort() {
    return port + 22;
  }

  int frontPort() {
    return port + 20;
  }

  /** Starts a machine's process with the command of its role. */
  void start(Machine machine, boolean first) throws IOException {
    Path settings = folder.resolve(machine.name + ".json");
    Files.writeString(settings, settings(machine, first));
    ProcessBuilder builder = new ProcessBuilder(commands.get(machine.core ? "control" : "entry"));
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("BURDOCKBAY_SETTINGS", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(machine.name + ".log").toFile()));
    machine.process = builder.start();
  }

  void signal(Machine machine, String name) throws IOException {
    record.line("SIGNAL " + name + " to " + machine.name);
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(machine.process.pid())).start().waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the lines of a machine's log that contain a text. */
  List<String> log(Machine machine, String text) throws IOException {
    return Files.readAllLines(folder.resolve(machine.name + ".log")).stream()
        .filter(line -> line.contains(text))
        .toList();
  }

  /** Publishes the next configuration with one queue, and waits for its ack. */
  void configure(long timeoutMillis, long targetMillis) throws IOException {
    version += 3;
    Map<String, Object> route = new LinkedHashMap<>();
    route.put("name", "r-1");
    route.put("host", HOST);
    route.put("path_prefix", "/q/");
    route.put("kind", "unsafe");
    route.put("timeout_ms", timeoutMillis);
    route.put("target_latency_ms", targetMillis);
    route.put("priority", 0);
    route.put("service", "desk");
    route.put("max_attempts", 2);
    route.put("stretch", 1.6);
    Map<String, Object> service = new LinkedHashMap<>();
    service.put("name", "desk");
    service.put("health_path", "/health");
    service.put("max_connections", 64);
    service.put("protocol", "h1");
    service.put("tls", false);
    service.put("enforces_capacity", true);
    service.put("standby", false);
    Map<String, Object> limits = new LinkedHashMap<>();
    limits.put("max_header_bytes", 16_384);
    limits.put("max_body_bytes", 262_144);
    limits.put("header_timeout_ms", 3_000);
    limits.put("idle_timeout_ms", 15_000);
    Map<String, Object> content = new LinkedHashMap<>();
    content.put("version", version);
    content.put("routes", List.of(route));
    content.put("services", List.of(service));
    content.put("limits", limits);
    String body = Json.write(content);
    long end = record.now() + 40_000;
    for (int i = 0; record.now() < end; i++) {
      Machine target = core.get(i % core.size());
      try {
        Http.Message answer =
            Http.call(
                target.ip, controlPort(), "PUT", "/-/configuration", Map.of("Host", "control"),
                body, 1_500);
        if (answer.status() == 200) {
          record.line("OPERATOR version " + version + " acknowledged by " + target.name);
          return;
        }
      } catch (IOException e) {
        // The next node is called.
      }
      Runner.pause(200);
    }
    throw new IOException("no ack of the configuration");
  }

  /** Waits until every frontend is ready and has answered a job. */
  void awaitService() throws IOException {
    long end = record.now() + 45_000;
    for (Machine front : fronts) {
      int attempt = 0;
      while (!serves(front, attempt++)) {
        if (record.now() > end) {
          throw new IOException(front.name + " doesn't serve");
        }
        Runner.pause(200);
      }
    }
    record.line("READY all frontends have answered a job");
  }

  private boolean serves(Machine front, int attempt) {
    try {
      if (Http.call(front.ip, port + 21, "GET", "/-/ready", Map.of("Host", "r"), "", 1_000).status()
          != 200) {
        return false;
      }
      String id = String.format("%08x%08x", fronts.indexOf(front) + 1, attempt);
      return Http.call(
                  front.ip, frontPort(), "POST", "/q/" + id,
                  Map.of("Host", HOST, "Deadline-Ms", "1500"), job(1, 1, 5), 2_500)
              .status()
          == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns a job that needn't be kept, of steps that follow one another. */
  String job(int steps, int count, int taskMillis) {
    List<Object> list = new ArrayList<>();
    for (int i = 0; i < steps; i++) {
      Map<String, Object> step = new LinkedHashMap<>();
      step.put("count", count);
      step.put("cpu", cpuOfTask);
      step.put("requested_memory_mb", 64);
      step.put("estimated_ms", taskMillis);
      if (i > 0) {
        step.put("dependencies", List.of(i - 1));
      }
      list.add(step);
    }
    Map<String, Object> job = new LinkedHashMap<>();
    job.put("specification", Integer.toString(taskMillis));
    job.put("best_effort", true);
    job.put("steps", list);
    return Json.write(job);
  }

  /** Returns the runs of a job so far. */
  List<Runner.Run> runs(String jobId) {
    synchronized (history) {
      return history.stream().filter(run -> run.task.startsWith(jobId + ".")).toList();
    }
  }

  /** Returns the machine whose process holds a fencing token: its low bits are from its address. */
  Machine holder(long token) {
    return machines().stream()
        .filter(machine -> number(machine.ip) == (token & 0xffffff))
        .findFirst()
        .orElse(null);
  }

  private static long number(String ip) {
    String[] parts = ip.split("\\.");
    return (Long.parseLong(parts[1]) << 16) | (Long.parseLong(parts[2]) << 8)
        | Long.parseLong(parts[3]);
  }

  private String settings(Machine machine, boolean first) {
    Map<String, Object> zones = new LinkedHashMap<>();
    ZONES.forEach(zone -> zones.put(zone, "region-a"));
    Map<String, Object> listen = new LinkedHashMap<>();
    if (machine.core) {
      listen.put("control_plane", machine.ip + ":" + controlPort());
    } else {
      listen.put("frontend", machine.ip + ":" + frontPort());
      listen.put("readiness", machine.ip + ":" + (port + 21));
    }
    Map<String, Object> limits = new LinkedHashMap<>();
    limits.put("cpu_share", 0.75);
    limits.put("cpu_cores", machine.core ? 2 : 1);
    limits.put("memory_mb", 430);
    limits.put("file_descriptors", 4_100);
    limits.put("link_mbps", 1_000.0);
    limits.put("disk_mb", machine.core ? 128 : 0);
    Map<String, Object> tolerance = new LinkedHashMap<>();
    tolerance.put("machines", 1);
    tolerance.put("zones", 1);
    tolerance.put("region_losses", 0);
    Map<String, Object> bounds = new LinkedHashMap<>();
    bounds.put("seed_lag_s", 3);
    bounds.put("address_reuse_s", 2);
    bounds.put("contact_ms", CONTACT_MILLIS);
    bounds.put("ack_timeout_ms", 4_000);
    bounds.put("catch_up_s", 4);
    bounds.put("drain_ms", 2_000);
    bounds.put("grace_period_s", GRACE_MILLIS / 1_000);
    bounds.put("loss_slack_ms", LOSS_SLACK_MILLIS);
    bounds.put("config_apply_ms", 2_000);
    bounds.put("rollback_slack_ms", 250);
    bounds.put("max_stretch_ms", 5_000);
    bounds.put("recovery_s", 12);
    bounds.put("max_hold_ms", 1_000);
    bounds.put("stop_timeout_ms", 50);
    bounds.put("cancel_ms", CANCEL_MILLIS);
    bounds.put("lease_ms", 3_000);
    bounds.put("resend_interval_ms", 1_300);
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("node_name", machine.name);
    fields.put("role", machine.core ? "control" : "entry");
    fields.put("zone", machine.zone);
    fields.put("region", "region-a");
    fields.put("ip", machine.ip);
    fields.put("zones", zones);
    fields.put("listen_addresses", listen);
    fields.put("internal_port_range", List.of(port, port + 15));
    fields.put("seed_nodes", core.stream().map(it -> it.ip + ":" + controlPort()).toList());
    fields.put("bootstrap", first);
    fields.put("counts_toward_tolerance", machine.core);
    fields.put("limits", limits);
    fields.put(
        "data_directory", machine.core ? folder.resolve("data-" + machine.name).toString() : null);
    fields.put("discovery", "registration");
    fields.put("entry", "virtual_ip");
    fields.put("heartbeat_interval_ms", 1_500);
    fields.put(
        "contracts",
        List.of("base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"));
    fields.put("fault_tolerance", tolerance);
    fields.put("bounds", bounds);
    fields.put("config_mode", "highest");
    fields.put("orders", "call");
    return Json.write(fields);
  }

  /** Reads the commands of the deploy file; the scripts run in the repository's root. */
  private void readCommands() throws IOException {
    String role = "";
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("[roles.")) {
        role = line.substring("[roles.".length(), line.indexOf(']'));
      } else if (line.startsWith("run = ")) {
        String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        List<String> words = new ArrayList<>(List.of(command.split(" ")));
        if (!new File(words.getFirst()).canExecute()) {
          words.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
        }
        commands.put(role, words);
      }
    }
    if (!commands.keySet().containsAll(List.of("control", "entry"))) {
      throw new IOException("the deploy file has other roles: " + commands.keySet());
    }
  }

  private int freePorts() throws IOException {
    int start = 20_000 + (int) (ProcessHandle.current().pid() % 150) * PORTS;
    for (int base = start; base < start + 100 * PORTS; base += PORTS) {
      boolean free = true;
      for (int i = 0; i < PORTS && free; i++) {
        try (ServerSocket probe =
            new ServerSocket(base + i, 1, InetAddress.getByName(subnet + ".1.1"))) {
          free = probe.isBound();
        } catch (IOException e) {
          free = false;
        }
      }
      if (free) {
        return base;
      }
    }
    throw new IOException("no free ports");
  }

  private void killAll() {
    for (Machine machine : machines()) {
      if (machine.process != null) {
        machine.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws IOException {
    for (Runner runner : runners) {
      runner.close();
    }
    killAll();
    for (Machine machine : machines()) {
      if (machine.process != null) {
        machine.process.onExit().join();
      }
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
