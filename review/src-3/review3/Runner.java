package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in for one runner, as the page "Running tasks" describes it. The specification of a job
 * is the run time of its tasks, in milliseconds.
 */
final class Runner implements AutoCloseable {

  private static final long PING_INTERVAL_MILLIS = 1_500;
  private static final long MAX_HOLD_MILLIS = 1_000;
  private static final long STOP_MILLIS = 30;

  /** Stands for the answer of a process that has crashed. */
  private static final byte[] GONE = new byte[0];
  static final long CPU = 16_000;

  /** A run of a task, by the record's clock. */
  static final class Run {
    final String runner;
    final String task;
    final long number;
    final long token;
    final long begunAt;
    final String specification;
    final long cpu;
    volatile long endedAt = Long.MAX_VALUE;
    volatile String how = "";
    private long dueAt;
    private String dueHow = "done";

    Run(
        String runner, String task, long number, long token, long begunAt, String specification,
        long cpu) {
      this.runner = runner;
      this.task = task;
      this.number = number;
      this.token = token;
      this.begunAt = begunAt;
      this.specification = specification;
      this.cpu = cpu;
      this.dueAt = begunAt + Long.parseLong(specification);
    }
  }

  final String id;
  final String ip;
  final int port;
  final String zone;
  private final Record record;
  private final List<String> controlIps;
  private final int controlPort;
  private final List<Run> history;
  private final long cpuOfTask;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile long born = System.currentTimeMillis();
  private volatile long clockOffset;
  private volatile ServerSocket listener;

  /** Whether the runner's process is down between a crash and its next start. */
  private volatile boolean down;
  private final List<Run> running = new ArrayList<>();
  private final List<List<Object>> ended = new ArrayList<>();
  private final Map<String, Long> highestOver = new HashMap<>();
  private long endCount;
  private long token;
  private long deadline;
  private long sequence;
  private int control;
  volatile String state = "ready";
  private volatile boolean closed;

  Runner(
      String id, String ip, int port, String zone, List<String> controlIps, int controlPort,
      long cpuOfTask, Record record, List<Run> history)
      throws IOException {
    this.cpuOfTask = cpuOfTask;
    this.id = id;
    this.ip = ip;
    this.port = port;
    this.zone = zone;
    this.controlIps = controlIps;
    this.controlPort = controlPort;
    this.record = record;
    this.history = history;
    this.clockOffset = 480_000 + (id.hashCode() & 0xffff);
    this.control = Math.abs(id.hashCode()) % controlIps.size();
    this.listener = listen();
    Thread.ofVirtual().start(this::accept);
    Thread.ofVirtual().start(this::ping);
    Thread.ofVirtual().start(this::settleOften);
  }

  private ServerSocket listen() throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
    return socket;
  }

  /**
   * Crashes, and starts again under the same id after some time. It then holds and knows nothing of
   * before; its clock, its numbers of ends and its pings start anew.
   */
  void restart(long downMillis) throws IOException {
    down = true;
    listener.close();
    synchronized (this) {
      for (Socket socket : sockets) {
        reset(socket);
      }
      sockets.clear();
      record.line("CRASH of " + id + " with " + running.size() + " runs");
      long now = record.now();
      for (Run run : running) {
        run.endedAt = now;
        run.how = "crash";
      }
      running.clear();
      ended.clear();
      highestOver.clear();
      endCount = 0;
      token = 0;
      deadline = 0;
      sequence = 0;
      born = System.currentTimeMillis();
      clockOffset = 1_000 - record.now();
      notifyAll();
    }
    pause(downMillis);
    listener = listen();
    down = false;
    record.line("START of " + id + " again");
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  private long clock() {
    return clockOffset + record.now();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        final long boot = born;
        Thread.ofVirtual().start(() -> serve(socket, boot));
      } catch (IOException e) {
        // Closed for good, or until the next start.
        pause(2);
      }
    }
  }

  private void serve(Socket socket, long boot) {
    try (socket) {
      var in = new BufferedInputStream(socket.getInputStream());
      for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
        byte[] answer = answer(call, boot);
        if (answer.length == 0) {
          // The process that read the call has crashed.
          return;
        }
        socket.getOutputStream().write(answer);
      }
    } catch (IOException e) {
      // The other end has closed the channel.
    } finally {
      sockets.remove(socket);
    }
  }

  private byte[] answer(Http.Message call, long boot) {
    String expected = call.headers().get("expect-instance");
    if (expected != null && !expected.equals(id)) {
      return Http.response(421, "");
    }
    Map<String, Object> order = Json.object(call.body());
    return switch (call.first()[1]) {
      case "/-/run-start" -> start(order, boot);
      case "/-/run-stop" -> stop(order, boot);
      case "/-/hold" -> hold(order, boot);
      default -> Http.response(404, "");
    };
  }

  private boolean isGone(long boot) {
    return down || boot != born;
  }

  private boolean isFenced(Map<String, Object> order) {
    long sent = Json.number(order, "fencing_token", 0);
    if (sent < token) {
      return true;
    }
    token = sent;
    return false;
  }

  /** A lease never shortens, and lasts at most {@link #MAX_HOLD_MILLIS} from now. */
  private void extend(Map<String, Object> order) {
    long asked = Json.number(order, "deadline_ms", 0);
    deadline = Math.max(deadline, Math.min(asked, clock() + MAX_HOLD_MILLIS));
  }

  private synchronized byte[] start(Map<String, Object> order, long boot) {
    if (isGone(boot)) {
      return GONE;
    }
    settle();
    String task = (String) order.get("task");
    long number = Json.number(order, "run", 0);
    if (isFenced(order)) {
      return refuse("fence", task, number);
    }
    extend(order);
    if (running.stream().anyMatch(run -> run.task.equals(task) && run.number == number)) {
      return respond(Map.of());
    }
    if (number <= highestOver.getOrDefault(task, 0L)) {
      return refuse("old", task, number);
    }
    if (Json.number(order, "deadline_ms", 0) <= clock() && deadline <= clock()) {
      return refuse("late", task, number);
    }
    if (running.stream().mapToLong(run -> run.cpu).sum() + cpuOfTask > CPU) {
      return refuse("room", task, number);
    }
    Run run = new Run(id, task, number, token, record.now(), (String) order.get("specification"), cpuOfTask);
    running.add(run);
    history.add(run);
    record.line("RUN start " + task + " run=" + number + " on " + id + " token=" + token);
    return respond(Map.of());
  }

  private synchronized byte[] stop(Map<String, Object> order, long boot) {
    if (isGone(boot)) {
      return GONE;
    }
    settle();
    String task = (String) order.get("task");
    long number = Json.number(order, "run", 0);
    if (isFenced(order)) {
      return refuse("fence", task, number);
    }
    for (Run run : running) {
      if (run.task.equals(task) && run.number <= number) {
        endBy(run, record.now() + STOP_MILLIS, "stopped");
      }
    }
    highestOver.merge(task, number, Math::max);
    return respond(Map.of());
  }

  private byte[] hold(Map<String, Object> order, long boot) {
    long until;
    synchronized (this) {
      if (isGone(boot)) {
        return GONE;
      }
      settle();
      if (isFenced(order)) {
        return refuse("fence", "-", 0);
      }
      long seen = Json.number(order, "last_seen", 0);
      ended.removeIf(row -> (Long) row.getFirst() <= seen);
      extend(order);
      until = record.now() + Math.min(2_000, Json.number(order, "wait_ms", 0));
      while (ended.isEmpty() && record.now() < until) {
        try {
          wait(Math.max(1, until - record.now()));
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
      if (isGone(boot)) {
        return GONE;
      }
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put(
          "running",
          running.stream().map(run -> List.<Object>of(run.task, run.number, "", 0, 0)).toList());
      fields.put("ended", List.copyOf(ended.subList(0, Math.min(500, ended.size()))));
      return respond(fields);
    }
  }

  private void endBy(Run run, long time, String how) {
    if (time < run.dueAt) {
      run.dueAt = time;
      run.dueHow = how;
    }
  }

  /** Ends the runs that are due, and all of them once the lease is over. */
  private synchronized void settle() {
    long now = record.now();
    if (deadline <= clock()) {
      running.forEach(run -> endBy(run, now, "lapsed"));
    }
    for (Run run : List.copyOf(running)) {
      if (run.dueAt <= now) {
        running.remove(run);
        run.endedAt = now;
        run.how = run.dueHow;
        highestOver.merge(run.task, run.number, Math::max);
        ended.add(List.of(++endCount, run.task, run.number, run.how, ""));
        record.line("RUN " + run.how + " " + run.task + " run=" + run.number + " on " + id);
        notifyAll();
      }
    }
  }

  private void settleOften() {
    while (!closed) {
      settle();
      pause(2);
    }
  }

  private byte[] refuse(String reason, String task, long number) {
    if (!task.equals("-")) {
      record.line("RUN refused " + task + " run=" + number + " on " + id + " reason=" + reason);
    }
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("clock_ms", clock());
    fields.put("born", born);
    fields.put("reason", reason);
    return Http.response(409, Json.write(fields));
  }

  private byte[] respond(Map<String, Object> content) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("clock_ms", clock());
    fields.put("born", born);
    fields.putAll(content);
    return Http.response(200, Json.write(fields));
  }

  /** Pings one node that serves control, and the next one if it doesn't answer within a second. */
  private void ping() {
    while (!closed) {
      Map<String, Object> ping = new LinkedHashMap<>();
      ping.put("service", "desk");
      ping.put("address", ip + ":" + port);
      ping.put("zone", zone);
      ping.put("version", "v1");
      ping.put("slots", 8);
      ping.put("state", state);
      ping.put("cold_remaining_ms", 0);
      ping.put("capacity", Map.of("cpu", CPU, "requested_memory_mb", 32_768, "gpu", 0));
      ping.put("labels", List.of("a", "r1-" + zone));
      ping.put("clock_ms", clock());
      ping.put("born", born);
      for (int attempt = 0; attempt < controlIps.size() && !down; attempt++) {
        ping.put("sequence", ++sequence);
        try {
          String path = "/-/instances/" + id;
          int status =
              Http.call(
                      controlIps.get(control), controlPort, "PUT", path, Map.of("Host", "control"),
                      Json.write(ping), 1_000)
                  .status();
          if (status / 100 == 2) {
            break;
          }
        } catch (IOException e) {
          // The next node is called.
        }
        control = (control + 1) % controlIps.size();
      }
      pause(PING_INTERVAL_MILLIS);
    }
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
  }
}
