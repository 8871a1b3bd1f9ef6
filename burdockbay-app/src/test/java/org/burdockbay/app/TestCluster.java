package org.burdockbay.app;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.burdockbay.bench.runner.RunnerFaults;
import org.burdockbay.bench.runner.RunnerOptions;
import org.burdockbay.bench.runner.StandInRunner;
import org.burdockbay.server.http.Credentials;

/**
 * A cluster on the loopback interface: each host is a process of the real program, and the stand-in
 * runners are part of the test's process.
 */
final class TestCluster implements AutoCloseable {

  private static final String OPERATOR_TOKEN = "operator-token-0123";
  private static final String RUNNER_TOKEN = "runner-token-0123456";
  private static final String CALLER_CREDENTIAL = "caller-credential";
  private static final MediaType JSON = MediaType.get("application/json");
  private static final long TIMEOUT_MILLIS = 60_000;
  private static final int LOG_TAIL_LINES = 30;
  private static final int RUNNER_SLOTS = 8;

  final List<StandInRunner> runners = new ArrayList<>();
  private final List<String> runnerDomains = new ArrayList<>();
  private final Map<String, String> domains = new LinkedHashMap<>();
  private final Map<String, Integer> peerPorts = new HashMap<>();
  private final Map<String, Integer> httpPorts = new HashMap<>();
  private final Map<String, Process> processes = new HashMap<>();
  private final Map<Process, Path> logs = new HashMap<>();
  private final Set<String> expectedRunning = new HashSet<>();
  private final ObjectMapper mapper = new ObjectMapper();
  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .callTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
          .readTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
          .build();
  private final Path folder;

  /** Starts hosts a and b in domain north and c in domain south, all voters. */
  TestCluster() throws Exception {
    folder = Files.createTempDirectory("cluster");
    try {
      startHosts();
    } catch (Exception | AssertionError e) {
      close();
      throw e;
    }
  }

  private void startHosts() throws Exception {
    domains.put("a", "north");
    domains.put("b", "north");
    domains.put("c", "south");
    for (String host : domains.keySet()) {
      peerPorts.put(host, freePort());
      httpPorts.put(host, freePort());
    }
    for (String host : domains.keySet()) {
      Files.writeString(folder.resolve(host + ".ini"), settingsText(host));
      Process init = startProgram("init", "--settings", folder.resolve(host + ".ini").toString());
      if (init.waitFor() != 0) {
        throw new IllegalStateException("'init' of host " + host + " failed");
      }
      start(host);
    }
    for (String domain : List.of("north", "north", "south")) {
      startRunner(domain);
    }
    await("the configuration is applied", this::applyConfiguration);
    for (String host : domains.keySet()) {
      await(host + " is ready", () -> get(host, "/ready", "").code() == 200);
    }
    await("domain north can start jobs", () -> canStartJobs("a") || canStartJobs("b"));
    await("domain south can start jobs", () -> canStartJobs("c"));
  }

  void start(String host) throws IOException {
    processes.put(
        host, startProgram("serve", "--settings", folder.resolve(host + ".ini").toString()));
    expectedRunning.add(host);
  }

  /** Resumes paused hosts and restarts ended ones, so that tests don't affect each other. */
  void restoreAll() throws Exception {
    for (String host : domains.keySet()) {
      if (processes.get(host).isAlive()) {
        sendSignal(host, "CONT");
      } else {
        start(host);
      }
    }
  }

  Process process(String host) {
    return processes.get(host);
  }

  /** Waits for a host to exit and returns its exit code; a timeout fails with a thread dump. */
  int awaitExit(String host) throws Exception {
    expectedRunning.remove(host);
    Process process = processes.get(host);
    if (!process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
      Process jstack =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "jstack").toString(),
                  Long.toString(process.pid()))
              .redirectErrorStream(true)
              .start();
      String threadDump =
          new String(jstack.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      throw new AssertionError(
          host + " hasn't exited after the signal; its threads:\n" + threadDump);
    }
    return process.exitValue();
  }

  /** Kills a host with SIGKILL, which simulates a power loss. */
  void kill(String host) throws InterruptedException {
    expectedRunning.remove(host);
    processes.get(host).destroyForcibly().waitFor();
  }

  /** Sends a signal, named without its SIG prefix, to a host. */
  void sendSignal(String host, String name) throws Exception {
    if (name.equals("TERM") || name.equals("ILL")) {
      expectedRunning.remove(host);
    }
    new ProcessBuilder("kill", "-" + name, Long.toString(processes.get(host).pid()))
        .start()
        .waitFor();
  }

  void deleteDataFolder(String host) throws IOException {
    deleteRecursively(folder.resolve("data-" + host));
  }

  /** Submits a job of two tasks and returns the future answer. */
  CompletableFuture<Answer> submit(String host, String job, String key, int runMillis) {
    String task = "{\"key\":\"" + key + "\",\"runMillis\":" + runMillis + "}";
    String body = "{\"job\":\"" + job + "\",\"tasks\":[" + task + "," + task + "]}";
    return CompletableFuture.supplyAsync(
        () -> {
          Request request =
              request(host, "/v1/jobs", CALLER_CREDENTIAL)
                  .header("Idempotency-Key", key)
                  .post(RequestBody.create(body, JSON))
                  .build();
          return execute(request);
        },
        Executors.newVirtualThreadPerTaskExecutor());
  }

  /** Opens a connection to a host. */
  Socket connect(String host) throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), httpPorts.get(host));
  }

  Answer get(String host, String path, String token) {
    return execute(request(host, path, token).build());
  }

  JsonNode statusReport(String host) {
    Answer answer = get(host, "/v1/operator/status", OPERATOR_TOKEN);
    return answer.code() == 200 ? answer.body().path("report") : mapper.createObjectNode();
  }

  /** Returns the host that reports itself as dispatcher of domain north, or an empty string. */
  String northDispatcher() {
    for (String host : List.of("a", "b")) {
      if (statusReport(host).path("self").path("dispatcherEpoch").asLong() != 0) {
        return host;
      }
    }
    return "";
  }

  /**
   * Returns whether a host dispatches, has registered at the ledger and has fenced every runner of
   * its domain; before that it refuses jobs.
   */
  boolean canStartJobs(String host) {
    JsonNode dispatch = statusReport(host).path("dispatch");
    long runnersInDomain = runnerDomains.stream().filter(domains.get(host)::equals).count();
    return dispatch.path("guarding").asBoolean()
        && dispatch.path("slots").asLong() == runnersInDomain * RUNNER_SLOTS;
  }

  /** Runs a command of the program against a host, as operator, and returns its exit code. */
  int runCommand(String host, String command, String argument) throws Exception {
    return startProgram(
            command,
            "--host",
            "127.0.0.1:" + httpPorts.get(host),
            "--token",
            OPERATOR_TOKEN,
            argument)
        .waitFor();
  }

  /** Returns the number of tasks that the runners of a domain have started. */
  int startedTasksIn(String domain) {
    int started = 0;
    for (int i = 0; i < runners.size(); i++) {
      started += runnerDomains.get(i).equals(domain) ? runners.get(i).startedTasks() : 0;
    }
    return started;
  }

  int startedTasks() {
    return runners.stream().mapToInt(StandInRunner::startedTasks).sum();
  }

  /**
   * Waits until a condition holds. If a host that is expected to run has ended, the condition can't
   * become true any more: the wait then fails immediately, with the end of that host's log, since
   * successive waits that each time out after a minute would look like a hang.
   */
  void await(String description, Callable<Boolean> holds) throws Exception {
    long deadline = System.currentTimeMillis() + TIMEOUT_MILLIS;
    while (!holds.call()) {
      for (String host : expectedRunning) {
        if (!processes.get(host).isAlive()) {
          throw new AssertionError(
              "%s exited with code %d while waiting for: %s%n%s"
                  .formatted(host, processes.get(host).exitValue(), description, logTail(host)));
        }
      }
      if (System.currentTimeMillis() > deadline) {
        throw new AssertionError("timed out waiting for: " + description + logTails());
      }
      Thread.sleep(50);
    }
  }

  @Override
  public void close() throws IOException {
    runners.forEach(StandInRunner::close);
    processes.values().forEach(Process::destroyForcibly);
    for (Process process : processes.values()) {
      process.onExit().join();
    }
    deleteRecursively(folder);
  }

  private boolean applyConfiguration() {
    String text =
        """
        [service desk]
        [job booking]
        service = desk
        [job check]
        service = desk
        idempotent = true
        [caller clerk]
        credential-sha256 = %s
        services = desk
        """
            .formatted(Credentials.sha256(CALLER_CREDENTIAL));
    Map<String, Object> change =
        Map.of("text", text, "expectedVersion", 0, "changeId", "first", "operator", "test");
    try {
      Request request =
          request("a", "/v1/operator/configuration", OPERATOR_TOKEN)
              .post(RequestBody.create(mapper.writeValueAsBytes(change), JSON))
              .build();
      return execute(request).code() == 200;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void startRunner(String domain) throws IOException {
    List<String> hosts =
        domains.entrySet().stream()
            .filter(entry -> entry.getValue().equals(domain))
            .map(entry -> "127.0.0.1:" + httpPorts.get(entry.getKey()))
            .toList();
    StandInRunner runner =
        new StandInRunner(
            new RunnerOptions(
                "runner-" + runners.size(),
                domain,
                "127.0.0.1",
                freePort(),
                List.of("desk"),
                List.of(),
                RUNNER_SLOTS,
                hosts,
                RUNNER_TOKEN,
                RunnerFaults.NONE),
            client);
    runner.start();
    runners.add(runner);
    runnerDomains.add(domain);
  }

  private String settingsText(String host) {
    StringBuilder text = new StringBuilder();
    text.append("[host]\nid = ").append(host);
    text.append("\ndomain = ").append(domains.get(host));
    text.append("\ncluster = test\nsecret = secret-0123456789ab");
    text.append("\noperator-token = ").append(OPERATOR_TOKEN);
    text.append("\nrunner-token = ").append(RUNNER_TOKEN);
    text.append("\npeer-address = 127.0.0.1:").append(peerPorts.get(host));
    text.append("\nhttp-address = 127.0.0.1:").append(httpPorts.get(host));
    text.append("\ndata-folder = ").append(folder.resolve("data-" + host)).append('\n');
    domains.forEach(
        (other, domain) -> {
          if (!other.equals(host)) {
            text.append("[peer ").append(other).append("]\ndomain = ").append(domain);
            text.append("\naddress = 127.0.0.1:").append(peerPorts.get(other));
            text.append("\nvoter = true\n");
          }
        });
    return text.toString();
  }

  private Process startProgram(String... arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.add("-XX:+ErrorFileToStdout");
    command.addAll(List.of("--sun-misc-unsafe-memory-access=allow", "-cp"));
    command.add(System.getProperty("java.class.path"));
    command.add(Main.class.getName());
    command.addAll(List.of(arguments));
    File log = folder.resolve(arguments[0] + "-" + System.nanoTime() + ".log").toFile();
    Process process =
        new ProcessBuilder(command)
            .directory(folder.toFile())
            .redirectErrorStream(true)
            .redirectOutput(log)
            .start();
    logs.put(process, log.toPath());
    return process;
  }

  private String logTail(String host) throws IOException {
    List<String> lines = Files.readAllLines(logs.get(processes.get(host)));
    return String.join(
        "\n", lines.subList(Math.max(0, lines.size() - LOG_TAIL_LINES), lines.size()));
  }

  private String logTails() throws IOException {
    StringBuilder text = new StringBuilder();
    for (String host : processes.keySet()) {
      text.append("\nlog of ").append(host).append(":\n").append(logTail(host));
    }
    return text.toString();
  }

  private Request.Builder request(String host, String path, String token) {
    return new Request.Builder()
        .url("http://127.0.0.1:" + httpPorts.get(host) + path)
        .header("Authorization", "Bearer " + token);
  }

  private Answer execute(Request request) {
    try (Response response = client.newCall(request).execute()) {
      String text = response.body().string();
      boolean isObject = text.startsWith("{");
      return new Answer(
          response.code(), isObject ? mapper.readTree(text) : mapper.createObjectNode());
    } catch (IOException e) {
      return new Answer(0, mapper.createObjectNode());
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private static void deleteRecursively(Path path) throws IOException {
    try (Stream<Path> files = Files.walk(path)) {
      for (Path file : files.sorted((x, y) -> y.compareTo(x)).toList()) {
        Files.delete(file);
      }
    }
  }

  /**
   * The answer to an HTTP request.
   *
   * @param code status code, or 0 if the call failed without a response
   * @param body the JSON object of the body, empty if the body is not one
   */
  record Answer(int code, JsonNode body) {}
}
