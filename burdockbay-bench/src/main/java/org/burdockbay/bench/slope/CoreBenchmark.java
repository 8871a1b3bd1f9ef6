package org.burdockbay.bench.slope;

import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.burdockbay.core.configuration.ConfigurationException;
import org.burdockbay.core.configuration.DispatchConfiguration;
import org.burdockbay.core.control.ControlCommand;
import org.burdockbay.core.control.ControlState;
import org.burdockbay.core.dispatch.Arrival;
import org.burdockbay.core.dispatch.DispatchEffect;
import org.burdockbay.core.dispatch.DispatchEvent;
import org.burdockbay.core.dispatch.Dispatcher;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.dispatch.LedgerRequest;
import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.core.ledger.LedgerCommand;
import org.burdockbay.core.membership.HostStatus;
import org.burdockbay.core.membership.Membership;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.core.runner.AttemptOutcome;
import org.burdockbay.core.runner.RunnerAnnouncement;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.statechart.StateChartException;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.JobRequest;
import org.burdockbay.core.submission.SubmissionKey;
import org.burdockbay.wire.ControlCodec;
import org.burdockbay.wire.PeerCodec;

/**
 * Benchmark of the core alone, on one thread and without a network. Prints one line for each
 * measurement, with the cost of a task, a ledger record or a host.
 */
public final class CoreBenchmark {

  private static final int SLOTS_PER_RUNNER = 8;
  private static final int TASKS_PER_JOB = 20;
  private static final int JOBS = 5_000;
  private static final int ROUNDS = 3;
  private static final String CONFIGURATION =
      """
      [service desk]
      queue-limit = 1000000
      [job check]
      service = desk
      idempotent = true
      [caller a]
      credential-sha256 = %s
      services = desk
      quota = 1000000
      """
          .formatted("a".repeat(64));

  private final PrintStream out;

  /** Creates a benchmark that prints its results to the given stream. */
  public CoreBenchmark(PrintStream out) {
    this.out = out;
  }

  /**
   * Runs all measurements.
   *
   * @throws BurdockbayException if a measured component can't be created
   */
  public void run() throws BurdockbayException {
    for (int runners : new int[] {10, 40, 160, 320}) {
      measureDispatch(runners);
    }
    for (int records : new int[] {1_000, 10_000, 100_000}) {
      measureLedger(records);
    }
    for (int hosts : new int[] {7, 14, 28, 56}) {
      measureMembership(hosts);
    }
  }

  private void measureDispatch(int runners) throws StateChartException, ConfigurationException {
    double bestMicros = Double.MAX_VALUE;
    for (int round = 0; round < ROUNDS; round++) {
      bestMicros = Math.min(bestMicros, measureDispatchRound(runners));
    }
    print(
        String.format(
            Locale.ROOT,
            "part=dispatch runners=%d micros-per-task=%.2f tasks-per-second-per-core=%.0f",
            runners,
            bestMicros,
            1e6 / bestMicros));
  }

  /** Returns the mean time that the dispatcher spends on a task, in microseconds. */
  private static double measureDispatchRound(int runners)
      throws StateChartException, ConfigurationException {
    Dispatcher dispatcher = new Dispatcher("north");
    long nowMillis = 1_000_000;
    dispatcher.handle(
        new DispatchEvent.ConfigurationChanged(
            DispatchConfiguration.parse("slopes", 1, CONFIGURATION)),
        nowMillis);
    announceRunners(dispatcher, runners, nowMillis);
    nowMillis += 1_600;
    announceRunners(dispatcher, runners, nowMillis);
    dispatcher.handle(new DispatchEvent.EpochGranted(9), nowMillis);
    for (int i = 0; i < runners; i++) {
      dispatcher.handle(
          new DispatchEvent.RunnerFenced(new RunnerId("r" + i, 1), 9, List.of()), nowMillis);
    }
    dispatcher.handle(new DispatchEvent.Tick(), nowMillis);
    Deque<DispatchEffect.StartAttempt> running = new ArrayDeque<>();
    int endedAttempts = 0;
    long startNanos = System.nanoTime();
    for (int job = 0; job < JOBS; job++) {
      collectStarts(dispatcher.handle(jobSubmission(job), nowMillis), running);
      int maxRunning = runners * SLOTS_PER_RUNNER * 9 / 10;
      while (running.size() > maxRunning || (job == JOBS - 1 && !running.isEmpty())) {
        DispatchEffect.StartAttempt first = running.remove();
        collectStarts(
            dispatcher.handle(
                new DispatchEvent.AttemptEnded(
                    first.attempt(), first.runner(), new AttemptOutcome.Succeeded("1")),
                nowMillis),
            running);
        endedAttempts++;
      }
      if (job % 50 == 0) {
        nowMillis += 25;
        announceRunners(dispatcher, runners, nowMillis);
        dispatcher.handle(new DispatchEvent.Tick(), nowMillis);
      }
    }
    return (System.nanoTime() - startNanos) / 1e3 / endedAttempts;
  }

  private static DispatchEvent jobSubmission(int job) {
    List<String> tasks = new ArrayList<>();
    for (int i = 0; i < TASKS_PER_JOB; i++) {
      tasks.add("{\"lot\":" + i + "}");
    }
    JobRequest request =
        new JobRequest(
            new SubmissionKey("a", "job-" + job), "digest", "check", tasks, 600_000, true);
    return new DispatchEvent.JobSubmitted(request, "host", Arrival.FIRST);
  }

  private static void collectStarts(
      List<DispatchEffect> effects, Deque<DispatchEffect.StartAttempt> running) {
    for (DispatchEffect effect : effects) {
      if (effect instanceof DispatchEffect.StartAttempt start) {
        running.add(start);
      }
    }
  }

  private static void announceRunners(Dispatcher dispatcher, int runners, long nowMillis) {
    for (int i = 0; i < runners; i++) {
      RunnerAnnouncement announcement =
          new RunnerAnnouncement(
              new RunnerId("r" + i, 1),
              "http://x",
              Set.of("desk"),
              Set.of(),
              SLOTS_PER_RUNNER,
              false);
      dispatcher.handle(new DispatchEvent.RunnerAnnounced(announcement), nowMillis);
    }
  }

  private void measureLedger(int records) {
    ControlState state = new ControlState();
    long heapBefore = usedHeapBytes();
    long startNanos = System.nanoTime();
    applyRequest(state, new LedgerRequest.Register(5));
    JobOutcome outcome = new JobOutcome.Completed(List.of("{\"booked\":true}"));
    for (int i = 0; i < records; i++) {
      SubmissionKey key = new SubmissionKey("clerk-" + i % 23, "session-" + i);
      applyRequest(state, new LedgerRequest.Open(5, key, "0123456789abcdef".repeat(4), 2));
      applyRequest(state, new LedgerRequest.Close(5, key, outcome));
    }
    double microsPerRecord = (System.nanoTime() - startNanos) / 1e3 / records;
    long heapBytesPerRecord = (usedHeapBytes() - heapBefore) / records;
    startNanos = System.nanoTime();
    int imageBytes = ControlCodec.toBytes(state.image()).size();
    double imageMillis = (System.nanoTime() - startNanos) / 1e6;
    print(
        String.format(
            Locale.ROOT,
            "part=ledger records=%d micros-per-open-and-close=%.2f heap-bytes-per-record=%d"
                + " image-bytes-per-record=%d image-millis=%.1f",
            records,
            microsPerRecord,
            heapBytesPerRecord,
            imageBytes / records,
            imageMillis));
  }

  private static void applyRequest(ControlState state, LedgerRequest request) {
    state.apply(new ControlCommand.LedgerOperation(new LedgerCommand("north", request)), 1);
  }

  private void measureMembership(int hosts) {
    Map<String, String> domains = new TreeMap<>();
    for (int i = 0; i < hosts; i++) {
      domains.put("host-" + i, "domain-" + i % 8);
    }
    Membership membership = new Membership("host-0", domains, 0);
    List<HostStatus> statuses = new ArrayList<>();
    domains.forEach(
        (host, domain) ->
            statuses.add(
                new HostStatus(
                    host, domain, 1, 1, 7, 0, 99, false, "host-1", new DomainLoad(10, 5))));
    int heartbeatBytes =
        PeerCodec.encode(new PeerMessage.Heartbeat(statuses.getLast())).getSerializedSize();
    int rounds = 4_000;
    long startNanos = 0;
    for (int round = 0; round < rounds; round++) {
      if (round == rounds / 2) {
        startNanos = System.nanoTime();
      }
      for (HostStatus status : statuses) {
        membership.heartbeat(status, round * 250L);
      }
      membership.tick(round * 250L);
    }
    double microsPerSecond = (System.nanoTime() - startNanos) / 1e3 / (rounds / 2.0) * 4;
    print(
        String.format(
            Locale.ROOT,
            "part=membership hosts=%d cpu-micros-per-second=%.1f heartbeat-bytes=%d"
                + " bytes-sent-per-second=%d",
            hosts,
            microsPerSecond,
            heartbeatBytes,
            (hosts - 1) * 4 * (heartbeatBytes + 4)));
  }

  private static long usedHeapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private void print(String line) {
    out.println(line);
  }
}
