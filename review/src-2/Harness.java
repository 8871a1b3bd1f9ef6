import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment of the project's programs on loopback, with stand-ins for all others. */
final class Harness implements AutoCloseable {

  static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  static final ObjectMapper JSON = new ObjectMapper();

  static {
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  private static final long STARTED_NANOS = System.nanoTime();

  final Path folder = Files.createTempDirectory("review-2-");
  final List<Node> nodes = new ArrayList<>();
  final List<Runner> runners = new ArrayList<>();
  final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .executor(Executors.newVirtualThreadPerTaskExecutor())
          .build();
  final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
  private final PrintWriter record;
  private final int port;
  private final String subnet;
  private final AtomicInteger pings = new AtomicInteger();
  private volatile boolean closed;

  /** Creates the deployment without starting it; {@code recordFile} receives what happens. */
  Harness(Path recordFile, int cores, int fronts) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    subnet = "127." + (20 + (int) (ProcessHandle.current().pid() % 200));
    port = findPort();
    for (int i = 0; i < cores; i++) {
      nodes.add(new Node("core-" + i, "control", ZONES.get(i % 3), subnet + ".1." + (i + 1)));
    }
    for (int i = 0; i < fronts; i++) {
      nodes.add(new Node("frontend-" + i, "entry", ZONES.get(i % 3), subnet + ".2." + (i + 1)));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  /** Returns the time since this program started, in milliseconds. */
  static long now() {
    return (System.nanoTime() - STARTED_NANOS) / 1_000_000;
  }

  void record(String text) {
    synchronized (record) {
      record.println("%8d %s".formatted(now(), text));
    }
  }

  List<Node> cores() {
    return nodes.stream().filter(node -> node.role.equals("control")).toList();
  }

  List<Node> fronts() {
    return nodes.stream().filter(node -> node.role.equals("entry")).toList();
  }

  private int findPort() throws IOException {
    for (int candidate = 21_000; candidate < 31_000; candidate += 10) {
      boolean free = true;
      for (int offset = 0; offset < 6 && free; offset++) {
        free = isFree(subnet + ".1.1", candidate + offset) && isFree("0.0.0.0", candidate + offset);
      }
      if (free) {
        return candidate;
      }
    }
    throw new IOException("no free ports");
  }

  private static boolean isFree(String address, int port) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(address, port));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Starts all processes for the first time, with empty disks. */
  void startAll() throws IOException {
    for (Node node : nodes) {
      node.start(true);
    }
  }

  /** Starts sound runners, which announce themselves as the pages say. */
  void startRunners(int count, String service, int cpu, boolean guards) throws IOException {
    for (int i = 0; i < count; i++) {
      Runner runner = new Runner(runners.size(), service, cpu, guards);
      runners.add(runner);
      runner.start();
    }
  }

  /** Publishes a configuration like an operator, who sends it again until it is acknowledged. */
  boolean configure(String body, long forMillis) throws InterruptedException {
    long end = now() + forMillis;
    for (int i = 0; now() < end; i++) {
      Node core = cores().get(i % cores().size());
      Reply reply = call("PUT", core.control(), "/-/configuration", null, body, 1_000);
      if (reply.status == 200) {
        record("configuration acknowledged by " + core.name);
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }

  /** Waits until all entry hosts say that they are ready. */
  boolean awaitReady(long forMillis) throws InterruptedException {
    long end = now() + forMillis;
    while (now() < end) {
      boolean ready = true;
      for (Node front : fronts()) {
        ready &= call("GET", front.readiness(), "/-/ready", null, null, 500).status == 200;
      }
      if (ready) {
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }

  static String configuration(int version, String queue, String service, int timeoutMillis) {
    return """
        {"version":%d,"routes":[{"name":"r-1","host":"desk.example","path_prefix":"/%s/",\
        "kind":"unsafe","timeout_ms":%d,"target_latency_ms":60,"priority":0,"service":"%s",\
        "max_attempts":4,"stretch":1.6}],"services":[{"name":"%s","health_path":"/health",\
        "max_connections":64,"protocol":"h1","tls":false,"enforces_capacity":%b,"standby":false}],\
        "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,\
        "idle_timeout_ms":15000}}"""
        .formatted(version, queue, timeoutMillis, service, service, guardsOf(service));
  }

  /** Services whose names begin with "open" have runners that don't guard their capacity. */
  private static boolean guardsOf(String service) {
    return !service.startsWith("open");
  }

  /** Makes one HTTP call; the status is 0 without a response. */
  Reply call(
      String method, String address, String path, Long deadline, String body, long timeoutMillis) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofMillis(timeoutMillis));
    request.header("Content-Type", "application/json");
    request.header("Host", "desk.example");
    if (deadline != null) {
      request.header("Deadline-Ms", Long.toString(deadline));
    }
    request.method(
        method,
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofString(body));
    try {
      HttpResponse<String> response =
          http.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Reply(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Reply(0, String.valueOf(e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Reply(0, "interrupted");
    }
  }

  /** Submits a job like a client, and records what was sent and answered. */
  Reply submit(Node front, String queue, String id, String body, long deadlineMillis) {
    String shown = body.length() > 300 ? body.substring(0, 300) + "..." : body;
    record("client: POST /" + queue + "/" + id + " at " + front.name + " " + shown);
    Reply reply =
        call("POST", front.frontend(), "/" + queue + "/" + id, deadlineMillis, body,
            deadlineMillis + 500);
    record("client: answer for " + id + " from " + front.name + ": " + reply);
    return reply;
  }

  void killAll() {
    closed = true;
    nodes.forEach(Node::kill);
  }

  @Override
  public void close() throws IOException {
    killAll();
    timer.shutdownNow();
    runners.forEach(Runner::stop);
    if (System.getenv("KEEP") != null) {
      System.err.println("kept " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  record Reply(int status, String body) {}

  /** One process of the project. */
  final class Node {
    final String name;
    final String role;
    final String zone;
    final String ip;
    volatile Process process;
    private boolean started;

    Node(String name, String role, String zone, String ip) {
      this.name = name;
      this.role = role;
      this.zone = zone;
      this.ip = ip;
    }

    String frontend() {
      return ip + ":" + (port + 2);
    }

    String readiness() {
      return ip + ":" + (port + 3);
    }

    String control() {
      return ip + ":" + (port + 4);
    }

    String metrics() {
      return ip + ":" + (port + 1);
    }

    Path log() {
      return folder.resolve(name + ".log");
    }

    /** Starts the process with the command of the deploy file, from the repository's root. */
    void start(boolean bootstrap) throws IOException {
      Path settings = folder.resolve(name + ".json");
      Files.writeString(settings, settings(bootstrap));
      ProcessBuilder builder = new ProcessBuilder(command());
      builder.environment().put("BURDOCKBAY_SETTINGS", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
      process = builder.start();
      started = true;
    }

    private List<String> command() throws IOException {
      String deploy = Files.readString(Path.of("deploy/system.toml"));
      Matcher run =
          Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]+)\"").matcher(deploy);
      if (!run.find()) {
        throw new IOException("no run command for " + role);
      }
      return List.of(run.group(1).split(" +"));
    }

    private String settings(boolean bootstrap) {
      ObjectNode root = JSON.createObjectNode();
      root.put("node_name", name).put("role", role).put("ip", ip).put("zone", zone);
      root.put("machine_class", role.equals("control") ? "core" : "frontend");
      root.putArray("serves").add(role.equals("control") ? "control" : "frontend");
      root.put("region", "region");
      ObjectNode zones = root.putObject("zones");
      ZONES.forEach(it -> zones.put(it, "region"));
      ObjectNode listen = root.putObject("listen_addresses");
      if (role.equals("control")) {
        listen.put("control_plane", control());
      } else {
        listen.put("frontend", frontend()).put("readiness", readiness());
      }
      root.putArray("internal_port_range").add(port).add(port + 1);
      ArrayNode seeds = root.putArray("seed_nodes");
      cores().stream().limit(3).forEach(core -> seeds.add(core.control()));
      root.put("bootstrap", bootstrap);
      root.put("counts_toward_tolerance", role.equals("control"));
      root.putObject("limits")
          .put("cpu_share", 0.75)
          .put("cpu_cores", 1)
          .put("memory_mb", 430)
          .put("file_descriptors", 4100);
      if (role.equals("control")) {
        root.put("data_directory", folder.resolve("data-" + name).toString());
      } else {
        root.putNull("data_directory");
      }
      root.put("discovery", "registration").put("entry", "virtual_ip");
      root.put("heartbeat_interval_ms", 1500);
      root.putObject("fault_tolerance").put("machines", 1).put("zones", 1).put("region_losses", 0);
      root.putObject("bounds")
          .put("contact_ms", 3000)
          .put("ack_timeout_ms", 4000)
          .put("grace_period_s", 6)
          .put("config_apply_ms", 2000)
          .put("max_hold_ms", 1000)
          .put("stop_timeout_ms", 50)
          .put("cancel_ms", 3000)
          .put("resend_interval_ms", 1300);
      root.put("config_mode", "highest").put("orders", "call");
      return root.toString();
    }

    void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void kill() {
      if (started) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }

    boolean isReady() {
      return call("GET", readiness(), "/-/ready", null, null, 500).status == 200;
    }
  }

  /** One run of a task on a runner; its end lies in the future while it is under way. */
  static final class Run {
    final Runner runner;
    final String task;
    final long number;
    final int cpu;
    final long begunAt = now();
    long endsAt;
    String how = "done";

    Run(Runner runner, String task, long number, int cpu, long millis) {
      this.runner = runner;
      this.task = task;
      this.number = number;
      this.cpu = cpu;
      this.endsAt = begunAt + millis;
    }

    void endAt(long time, String cause) {
      if (time < endsAt) {
        endsAt = time;
        how = cause;
      }
    }

    @Override
    public String toString() {
      return task + " run " + number + " on " + runner.id + " from " + begunAt + " to " + endsAt
          + " (" + how + ")";
    }
  }

  /**
   * A sound runner. The specification of a job is "MILLIS CPU": how long a task works, and the
   * processor share that it needs.
   */
  final class Runner {
    static final long STOP_MILLIS = 45;
    static final long MAX_HOLD_MILLIS = 1_000;
    final String id;
    final String service;
    final String zone;
    final String address;
    final int cpu;
    final boolean guards;
    final long born = System.currentTimeMillis();
    final List<Run> history = new ArrayList<>();
    private final List<Run> running = new ArrayList<>();
    private final Map<String, Long> highestEnded = new HashMap<>();
    private final LinkedHashMap<Long, List<Object>> ended = new LinkedHashMap<>();
    private HttpServer server;
    private long token;
    private long deadline;
    private long endCount;
    private int sequence;

    Runner(int number, String service, int cpu, boolean guards) {
      this.id = "i-%04x".formatted(number + 1);
      this.service = service;
      this.zone = ZONES.get(number % 3);
      this.address = subnet + ".3." + (number + 1) + ":" + (port + 5);
      this.cpu = cpu;
      this.guards = guards;
    }

    void start() throws IOException {
      String[] parts = address.split(":");
      server =
          HttpServer.create(
              new InetSocketAddress(InetAddress.getByName(parts[0]), Integer.parseInt(parts[1])),
              256);
      server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
      server.createContext("/", this::handle);
      server.start();
      timer.scheduleAtFixedRate(this::settleSafely, 2, 2, TimeUnit.MILLISECONDS);
      timer.scheduleAtFixedRate(
          () -> Thread.startVirtualThread(this::announce), 50L * sequence, 1_500,
          TimeUnit.MILLISECONDS);
    }

    void stop() {
      server.stop(0);
    }

    private void announce() {
      ObjectNode body = JSON.createObjectNode();
      body.put("service", service).put("address", address).put("zone", zone).put("version", "v1");
      body.put("slots", 8).put("state", "ready").put("cold_remaining_ms", 0);
      body.putObject("capacity").put("cpu", cpu).put("requested_memory_mb", 65536).put("gpu", 0);
      body.putArray("labels").add("a").add("r1-1");
      body.put("clock_ms", now()).put("sequence", ++sequence).put("born", born);
      for (int i = 0; i < cores().size() && !closed; i++) {
        Node core = cores().get(pings.getAndIncrement() % cores().size());
        if (call("PUT", core.control(), "/-/instances/" + id, null, body.toString(), 1_000).status
            == 200) {
          return;
        }
      }
    }

    private void handle(HttpExchange exchange) throws IOException {
      try (exchange) {
        byte[] content = exchange.getRequestBody().readAllBytes();
        String intended = exchange.getRequestHeaders().getFirst("Expect-Instance");
        if (intended != null && !intended.equals(id)) {
          exchange.sendResponseHeaders(421, -1);
          return;
        }
        JsonNode order = JSON.readTree(content);
        String path = exchange.getRequestURI().getPath();
        ObjectNode answer = path.equals("/-/hold") ? hold(order) : carryOut(path, order);
        answer.put("clock_ms", now()).put("born", born);
        byte[] bytes = answer.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.has("reason") ? 409 : 200, bytes.length);
        exchange.getResponseBody().write(bytes);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private synchronized ObjectNode carryOut(String path, JsonNode order) {
      settle();
      ObjectNode answer = JSON.createObjectNode();
      String task = order.path("task").asText();
      long number = order.path("run").asLong();
      if (order.path("fencing_token").asLong() < token) {
        return answer.put("reason", "fence");
      }
      token = order.path("fencing_token").asLong();
      List<Run> same =
          running.stream().filter(it -> it.task.equals(task) && it.number == number).toList();
      if (path.equals("/-/run-stop")) {
        same.forEach(run -> run.endAt(now() + STOP_MILLIS, "stopped"));
        highestEnded.merge(task, number, Math::max);
        record("runner " + id + ": run-stop " + task + " run " + number);
        return answer;
      }
      extend(order.path("deadline_ms").asLong());
      if (!same.isEmpty()) {
        return answer;
      }
      if (number <= highestEnded.getOrDefault(task, 0L)) {
        return answer.put("reason", "old");
      }
      if (order.path("deadline_ms").asLong() <= now()) {
        return answer.put("reason", "late");
      }
      String[] specification = order.path("specification").asText().split(" ");
      int size = Integer.parseInt(specification[1]);
      if (guards && used() + size > cpu) {
        return answer.put("reason", "room");
      }
      Run run = new Run(this, task, number, size, Long.parseLong(specification[0]));
      running.add(run);
      history.add(run);
      record(
          "runner " + id + ": run-start " + task + " run " + number + " token " + token
              + ", in use " + used() + " of " + cpu);
      if (used() > cpu) {
        overfills.add(run + ", in use " + used() + " of " + cpu + ": " + running);
      }
      return answer;
    }

    private int used() {
      return running.stream().mapToInt(run -> run.cpu).sum();
    }

    private void extend(long until) {
      deadline = Math.max(deadline, Math.min(until, now() + MAX_HOLD_MILLIS));
    }

    private ObjectNode hold(JsonNode order) throws InterruptedException {
      long until = now() + Math.min(2_000, order.path("wait_ms").asLong());
      synchronized (this) {
        settle();
        ObjectNode answer = JSON.createObjectNode();
        if (order.path("fencing_token").asLong() < token) {
          return answer.put("reason", "fence");
        }
        token = order.path("fencing_token").asLong();
        extend(order.path("deadline_ms").asLong());
        ended.keySet().removeIf(key -> key <= order.path("last_seen").asLong());
        while (ended.isEmpty() && now() < until) {
          wait(Math.max(1, until - now()));
        }
        ArrayNode runningRows = answer.putArray("running");
        for (Run run : running) {
          runningRows.addArray().add(run.task).add(run.number).add("").add(0).add(run.cpu);
        }
        ArrayNode endedRows = answer.putArray("ended");
        ended.values().stream().limit(500).forEach(row -> endedRows.add(JSON.valueToTree(row)));
        return answer;
      }
    }

    private void settleSafely() {
      synchronized (this) {
        settle();
      }
    }

    /** Ends the runs whose work, stop or lease is over. */
    private void settle() {
      long time = now();
      if (deadline <= time) {
        running.forEach(run -> run.endAt(deadline, "lapsed"));
      }
      List<Run> over = running.stream().filter(run -> run.endsAt <= time).toList();
      for (Run run : over) {
        running.remove(run);
        highestEnded.merge(run.task, run.number, Math::max);
        ended.put(++endCount, List.of(endCount, run.task, run.number, run.how, ""));
        record("runner " + id + ": ended " + run.task + " run " + run.number + " " + run.how);
      }
      if (!over.isEmpty()) {
        notifyAll();
      }
    }
  }

  /** The starts that brought a runner over its capacity. */
  final List<String> overfills = java.util.Collections.synchronizedList(new ArrayList<>());

  /** Returns all runs of the jobs whose ids begin with a prefix. */
  List<Run> runs(String prefix) {
    List<Run> all = new ArrayList<>();
    for (Runner runner : runners) {
      synchronized (runner) {
        runner.history.stream().filter(run -> run.task.startsWith(prefix)).forEach(all::add);
      }
    }
    all.sort(Comparator.comparingLong(run -> run.begunAt));
    return all;
  }
}
