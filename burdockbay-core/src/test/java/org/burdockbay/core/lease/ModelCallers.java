package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.burdockbay.core.work.WorkOutcome;

/**
 * The callers of a {@link LeaseModel}: when they send a request again, and how their connections
 * break.
 *
 * <p>After no response, a broken connection or an answer that leaves the outcome open, a caller
 * sends the same request again to any host, after the retry interval of the deployment or later.
 */
final class ModelCallers {

  private static final long SEED_MASK = 0x9E3779B97F4A7C15L;

  /** The retry interval of the deployments known so far. */
  private static final long KNOWN_RETRY_INTERVAL_MILLIS = 1_300;

  private static final long MIN_RETRY_INTERVAL_MILLIS = 50;
  private static final long MAX_RETRY_INTERVAL_MILLIS = 3_000;
  private static final long MAX_EXTRA_DELAY_MILLIS = 1_000;

  /** Longest time after which a host notices that a connection broke, if it ever does. */
  private static final long MAX_DETECTION_MILLIS = 3_000;

  private static final long MIN_DUPLICATE_DELAY_MILLIS = 1_000;
  private static final long MAX_DUPLICATE_DELAY_MILLIS = 4_000;

  /** Maximum number of attempts after an outcome that was left open. */
  private static final int MAX_ATTEMPTS = 4;

  private final LeaseModel model;
  private final Behavior behavior;

  /** Separate from the model's generators, so that the sequences of other simulations stay. */
  private final SplittableRandom random;

  private final long retryIntervalMillis;
  private final List<OpenAttempt> openAttempts = new ArrayList<>();

  ModelCallers(LeaseModel model, long seed, Behavior behavior) {
    this.model = model;
    this.behavior = behavior;
    random = new SplittableRandom(seed ^ SEED_MASK);
    retryIntervalMillis =
        behavior == Behavior.FIXED_DELAY
            ? KNOWN_RETRY_INTERVAL_MILLIS
            : randomRetryIntervalMillis();
    model.trace("callers", "behavior=" + behavior + " retry-interval=" + retryIntervalMillis);
  }

  /** Returns the retry interval of the deployment, in milliseconds. */
  long retryIntervalMillis() {
    return retryIntervalMillis;
  }

  /** Returns an interval of which each order of magnitude is equally likely. */
  private long randomRetryIntervalMillis() {
    double range = (double) MAX_RETRY_INTERVAL_MILLIS / MIN_RETRY_INTERVAL_MILLIS;
    return Math.round(MIN_RETRY_INTERVAL_MILLIS * Math.pow(range, random.nextDouble()));
  }

  /** Sends the request of an attempt to a host. */
  void send(CallerAttempt attempt, ModelEntryHost host) {
    if (behavior != Behavior.FIXED_DELAY) {
      openAttempts.removeIf(open -> !open.attempt.isWaiting);
      openAttempts.add(new OpenAttempt(attempt, host));
    }
    host.submit(attempt);
  }

  /** Sends the request of an attempt whose connection broke again, later and to any host. */
  void retryLater(CallerAttempt attempt) {
    retryAfter(attempt, retryDelayMillis());
  }

  private void retryAfter(CallerAttempt attempt, long millis) {
    attempt.isWaiting = false;
    model.recordRetry(attempt);
    CallerAttempt next = attempt.next();
    model.schedule(millis, () -> sendAgain(next));
  }

  private void sendAgain(CallerAttempt attempt) {
    model.recordAttempt(attempt);
    send(attempt, behavior == Behavior.FIXED_DELAY ? model.anyHost() : anyHost());
  }

  private long retryDelayMillis() {
    if (behavior == Behavior.FIXED_DELAY) {
      return retryIntervalMillis;
    }
    boolean isPrompt = random.nextBoolean();
    return retryIntervalMillis + random.nextLong(isPrompt ? 10 : MAX_EXTRA_DELAY_MILLIS);
  }

  private ModelEntryHost anyHost() {
    List<ModelEntryHost> all = List.copyOf(model.hosts.values());
    List<ModelEntryHost> up = all.stream().filter(host -> host.up).toList();
    List<ModelEntryHost> candidates = up.isEmpty() ? all : up;
    return candidates.get(random.nextInt(candidates.size()));
  }

  /** Lets the callers retry whose connections broke with the end of a host's process. */
  void hostEnded(ModelEntryHost host, List<CallerAttempt> accepted) {
    if (behavior == Behavior.FIXED_DELAY) {
      accepted.forEach(this::retryLater);
    } else {
      attemptsAt(host).forEach(this::retryLater);
    }
  }

  /** Handles an answer, after which the caller may send the request once more. */
  void handleAnswer(CallerAttempt attempt, WorkOutcome outcome) {
    attempt.isWaiting = false;
    if (behavior == Behavior.FIXED_DELAY || model.faultsEnded()) {
      return;
    }
    switch (outcome) {
      case WorkOutcome.GivenUp givenUp -> {
        if (attempt.earlierAttempts + 1 < MAX_ATTEMPTS) {
          retryLater(attempt);
        }
      }
      case WorkOutcome.Completed completed -> {
        if (!attempt.isDuplicate && random.nextInt(10) == 0) {
          CallerAttempt duplicate = attempt.duplicate();
          model.recordRetry(attempt);
          model.schedule(
              random.nextLong(MIN_DUPLICATE_DELAY_MILLIS, MAX_DUPLICATE_DELAY_MILLIS),
              () -> sendAgain(duplicate));
        }
      }
      default -> {
        // The caller doesn't send the request again.
      }
    }
  }

  /** Breaks connections of callers; does nothing where the only faults are those of hosts. */
  void injectFaults() {
    if (behavior == Behavior.FIXED_DELAY) {
      return;
    }
    model.hosts.values().stream().filter(host -> host.paused).forEach(this::leavePausedHost);
    if (random.nextInt(2) == 0) {
      List<OpenAttempt> open = openAttempts.stream().filter(OpenAttempt::canBreak).toList();
      if (!open.isEmpty()) {
        breakConnection(open.get(random.nextInt(open.size())));
      }
    }
  }

  /** Lets callers of a paused host leave, which it notices behind their requests. */
  private void leavePausedHost(ModelEntryHost host) {
    for (CallerAttempt attempt : attemptsAt(host)) {
      if (random.nextInt(3) == 0) {
        model.trace(host.name, "paused, the caller of " + attempt.workId() + " left");
        retryLater(attempt);
        host.disconnect(attempt);
      }
    }
  }

  private void breakConnection(OpenAttempt open) {
    CallerAttempt attempt = open.attempt;
    if (behavior == Behavior.SILENT_BREAKS && random.nextBoolean()) {
      model.trace(open.host.name, "silently lost the caller of " + attempt.workId());
      retryLater(attempt);
      if (random.nextBoolean()) {
        model.schedule(random.nextLong(MAX_DETECTION_MILLIS), () -> open.host.disconnect(attempt));
      }
    } else {
      // A break that is noticed late looks to the hosts like an immediate attempt elsewhere.
      boolean isNoticedLate = random.nextBoolean();
      model.trace(
          open.host.name, "lost the caller of " + attempt.workId() + " late=" + isNoticedLate);
      retryAfter(attempt, isNoticedLate ? 0 : retryDelayMillis());
      open.host.disconnect(attempt);
    }
  }

  private List<CallerAttempt> attemptsAt(ModelEntryHost host) {
    return openAttempts.stream()
        .filter(open -> open.host == host && open.attempt.isWaiting)
        .map(OpenAttempt::attempt)
        .toList();
  }

  /** What callers do besides waiting. */
  enum Behavior {
    /** They retry after the delay of the known deployments, once their host has noticed a break. */
    FIXED_DELAY,
    /**
     * They retry after the interval of any deployment, also at the moment in which their host
     * notices a break, after it was paused, after an open outcome, and seconds after an answer.
     */
    QUICK_RETRIES,
    /** In addition, connections break without their hosts noticing until later, if ever. */
    SILENT_BREAKS
  }

  /** An attempt, and the host that received it. */
  private record OpenAttempt(CallerAttempt attempt, ModelEntryHost host) {

    private boolean canBreak() {
      return attempt.isWaiting && host.up && !host.paused;
    }
  }
}
