package org.burdockbay.core.registration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardMap;

/**
 * Records which dispatcher has each piece of work, and lets one dispatcher have it at a time.
 *
 * <p>A dispatcher that registers work which another one has is put on the waiting list of the work,
 * and gets it once the other one has removed its registration or is lost. In the latter case the
 * confirmation carries a quiet period, as the runs of the lost dispatcher may go on.
 *
 * <p>All state is in memory. Dispatchers register their work again with a new registrar, which may
 * confirm the registration of another dispatcher before that, and a dispatcher on the other side of
 * a partition can't register at all. Work that may run unknown to the registrar gets a quiet
 * period. Not thread-safe.
 */
public final class WorkRegistrar {

  /**
   * Time after which a registration that wasn't repeated is dropped, in milliseconds: its removal
   * was lost. Dispatchers repeat registrations every second.
   */
  private static final long REGISTRATION_TIMEOUT_MILLIS = 3_000;

  /**
   * Time after a change of the dispatchers in which the others discover it and register their work
   * again, in milliseconds: a heartbeat interval and a few ticks.
   */
  private static final long SETTLING_MILLIS = 200;

  private final String self;
  private final long maxLeaseMillis;
  private final long maxOrphanedRunMillis;
  private final long minQuietPeriodMillis;
  private final Map<String, Registration> registrations = new HashMap<>();
  private Map<ShardId, ShardDispatcher> dispatchers = Map.of();

  /** The dispatchers that were replaced within the settling time. */
  private final Deque<ReplacedView> replacedViews = new ArrayDeque<>();

  /** The work that is confirmed once the dispatchers have registered what they have. */
  private final Set<String> unsettledWork = new LinkedHashSet<>();

  /** The shards that have had a dispatcher since the fleet was last divided or merged. */
  private final Set<ShardId> knownShards = new HashSet<>();

  private boolean shardMissing;

  /** Until when dispatchers may not have registered all their work with this registrar. */
  private long incompleteUntil = Long.MIN_VALUE;

  private List<Decision> decisions = new ArrayList<>();

  /**
   * Creates a registrar without registrations.
   *
   * @param self the id of this host
   * @param maxLeaseMillis how long the runs of a lost dispatcher may go on, in milliseconds
   * @param maxOrphanedRunMillis how long a run may go on after its caller's connection broke, if
   *     its dispatcher can't be reached, in milliseconds
   * @param callerRetryDelayMillis shortest time from a broken connection of a caller until its next
   *     attempt, in milliseconds
   */
  public WorkRegistrar(
      String self, long maxLeaseMillis, long maxOrphanedRunMillis, long callerRetryDelayMillis) {
    this.self = self;
    this.maxLeaseMillis = maxLeaseMillis;
    this.maxOrphanedRunMillis = maxOrphanedRunMillis;
    this.minQuietPeriodMillis = Math.max(0, maxOrphanedRunMillis - callerRetryDelayMillis);
  }

  /** Drops all registrations, when this host loses its role. */
  public void clear() {
    registrations.clear();
    unsettledWork.clear();
    dispatchers = Map.of();
    replacedViews.clear();
  }

  /**
   * Returns the quiet period of work that may run unknown to the registrar, in milliseconds.
   *
   * <p>A caller's next attempt comes no sooner than its retry delay after the break, so the runs of
   * the earlier attempt end within the rest of {@code maxOrphanedRunMillis}.
   */
  public long minQuietPeriodMillis() {
    return minQuietPeriodMillis;
  }

  /** Updates the dispatchers of the fleet, and returns the resulting confirmations. */
  public List<Decision> updateDispatchers(Map<ShardId, ShardDispatcher> changed, long now) {
    updateShards(changed.keySet());
    if (!changed.equals(dispatchers)) {
      replacedViews.add(new ReplacedView(dispatchers, now));
      dispatchers = Map.copyOf(changed);
      incompleteUntil = now + maxOrphanedRunMillis;
      registrations.keySet().removeIf(work -> !isRegistrar(work));
      unsettledWork.retainAll(registrations.keySet());
      registrations.forEach((work, registration) -> updateHolder(work, registration, now));
    }
    return takeDecisions();
  }

  private void updateShards(Set<ShardId> current) {
    if (!current.isEmpty()) {
      boolean divided = !current.contains(ShardId.WHOLE_FLEET);
      knownShards.removeIf(shard -> shard.equals(ShardId.WHOLE_FLEET) == divided);
      knownShards.addAll(current);
    }
    shardMissing = !current.containsAll(knownShards);
  }

  private boolean mayMissRegistrations(long now) {
    return shardMissing || now < incompleteUntil;
  }

  private void updateHolder(String workId, Registration registration, long now) {
    registration.waiting.retainAll(dispatchers.values());
    if (dispatchers.containsValue(registration.holder)) {
      registration.lostAt = Registration.NOT_LOST;
    } else if (!registration.isLost()) {
      registration.lostAt = now;
    }
    if (registration.isLost()) {
      confirmNext(workId, registration, now);
    }
  }

  /**
   * Handles the registration of work, new or repeated, and returns the decision.
   *
   * @param underWay whether tasks of the work may have started at that dispatcher
   */
  public List<Decision> register(
      ShardDispatcher dispatcher, String workId, boolean underWay, long now) {
    Registration known = registrations.get(workId);
    if (!isRegistrar(workId)) {
      // One of the two hosts doesn't know the current dispatchers yet; registrations are repeated.
      decisions.add(new Decision.Deferred(dispatcher, workId, "", false));
    } else if (known == null) {
      add(dispatcher, workId, underWay, now);
    } else if (underWay && unsettledWork.remove(workId)) {
      known.waiting.add(known.holder);
      known.waiting.remove(dispatcher);
      known.holder = dispatcher;
      known.quietUntil = now;
      confirm(workId, known, now);
    } else if (unsettledWork.contains(workId)) {
      if (!known.holder.equals(dispatcher)) {
        known.waiting.add(dispatcher);
      }
      decisions.add(new Decision.Deferred(dispatcher, workId, "", false));
    } else if (known.holder.equals(dispatcher)) {
      known.repeatedAt = now;
      confirm(workId, known, now);
    } else if (known.isNewerThan(dispatcher)) {
      // A registration of an earlier tenure was delayed.
      known.waiting.remove(dispatcher);
    } else if (known.isLost() || known.holder.host().equals(dispatcher.host())) {
      known.lostAt = known.isLost() ? known.lostAt : now;
      transfer(workId, known, dispatcher, now);
    } else {
      known.waiting.add(dispatcher);
      decisions.add(new Decision.Deferred(dispatcher, workId, known.holder.host(), underWay));
    }
    return takeDecisions();
  }

  private void add(ShardDispatcher dispatcher, String workId, boolean underWay, long now) {
    long quietPeriod = !underWay && mayMissRegistrations(now) ? minQuietPeriodMillis : 0;
    Registration added = new Registration(dispatcher, now + quietPeriod);
    added.repeatedAt = now;
    registrations.put(workId, added);
    if (underWay || isSettled(workId, now)) {
      confirm(workId, added, now);
    } else {
      unsettledWork.add(workId);
      decisions.add(new Decision.Deferred(dispatcher, workId, "", false));
    }
  }

  /** Returns whether dispatchers that have the work would have registered it here. */
  private boolean isSettled(String workId, long now) {
    Optional<ShardDispatcher> registrar = registrarOf(workId, dispatchers);
    return replacedViews.stream()
        .filter(view -> now - view.replacedAt() < SETTLING_MILLIS)
        .allMatch(view -> registrarOf(workId, view.dispatchers()).equals(registrar));
  }

  private boolean isRegistrar(String workId) {
    return registrarOf(workId, dispatchers).filter(it -> it.host().equals(self)).isPresent();
  }

  /**
   * Returns the registrar of work, the dispatcher of the shard with the highest weight for its id;
   * empty without dispatchers.
   */
  public static Optional<ShardDispatcher> registrarOf(
      String workId, Map<ShardId, ShardDispatcher> dispatchers) {
    return ShardMap.of(dispatchers.keySet()).preferenceOrder(workId).stream()
        .findFirst()
        .map(dispatchers::get);
  }

  /** Handles the removal of a registration, and returns the resulting confirmation. */
  public List<Decision> deregister(ShardDispatcher dispatcher, String workId, long now) {
    Registration known = registrations.get(workId);
    if (known != null) {
      known.waiting.remove(dispatcher);
      if (known.holder.equals(dispatcher)) {
        known.quietUntil = now;
        known.lostAt = Registration.NOT_LOST;
        release(workId, known, now);
      }
    }
    return takeDecisions();
  }

  /** Confirms work that has waited, drops registrations whose removal was lost. */
  public List<Decision> tick(long now) {
    replacedViews.removeIf(view -> now - view.replacedAt() >= SETTLING_MILLIS);
    for (String work : List.copyOf(unsettledWork)) {
      if (isSettled(work, now)) {
        unsettledWork.remove(work);
        confirm(work, registrations.get(work), now);
      }
    }
    for (Map.Entry<String, Registration> entry : List.copyOf(registrations.entrySet())) {
      if (now - entry.getValue().repeatedAt > REGISTRATION_TIMEOUT_MILLIS) {
        release(entry.getKey(), entry.getValue(), now);
      }
    }
    return takeDecisions();
  }

  /** Passes work to the dispatcher that waits longest, or drops its registration. */
  private void release(String workId, Registration registration, long now) {
    unsettledWork.remove(workId);
    if (registration.waiting.isEmpty()) {
      registrations.remove(workId);
    } else {
      confirmNext(workId, registration, now);
    }
  }

  private void confirmNext(String workId, Registration registration, long now) {
    if (!registration.waiting.isEmpty()) {
      transfer(workId, registration, registration.waiting.iterator().next(), now);
    }
  }

  private void transfer(String workId, Registration registration, ShardDispatcher next, long now) {
    if (registration.isLost()) {
      registration.quietUntil =
          Math.max(
              registration.quietUntil,
              Math.max(registration.lostAt + maxLeaseMillis, now + minQuietPeriodMillis));
    }
    registration.waiting.remove(next);
    registration.holder = next;
    registration.lostAt = Registration.NOT_LOST;
    registration.repeatedAt = now;
    confirm(workId, registration, now);
  }

  private void confirm(String workId, Registration registration, long now) {
    decisions.add(
        new Decision.Confirmed(
            registration.holder, workId, Math.max(0, registration.quietUntil - now)));
  }

  private List<Decision> takeDecisions() {
    List<Decision> taken = decisions;
    decisions = new ArrayList<>();
    return taken;
  }

  /** Decision about a registration, for the dispatcher that requested it. */
  public sealed interface Decision {

    /** The dispatcher that registered the work. */
    ShardDispatcher dispatcher();

    /** The id of the work. */
    String workId();

    /**
     * The dispatcher has the work.
     *
     * @param quietPeriodMillis how long no task may start, as runs of an earlier dispatcher may go
     *     on
     */
    record Confirmed(ShardDispatcher dispatcher, String workId, long quietPeriodMillis)
        implements Decision {}

    /**
     * Another dispatcher has the work.
     *
     * @param holder the host of that dispatcher; empty while dispatchers may still register work
     *     that they have
     * @param underWay whether tasks of the work may have started at the requesting dispatcher too
     */
    record Deferred(ShardDispatcher dispatcher, String workId, String holder, boolean underWay)
        implements Decision {}
  }

  private record ReplacedView(Map<ShardId, ShardDispatcher> dispatchers, long replacedAt) {}

  private static final class Registration {

    static final long NOT_LOST = Long.MAX_VALUE;

    final Set<ShardDispatcher> waiting = new LinkedHashSet<>();
    ShardDispatcher holder;
    long quietUntil;

    /** When the holder was first missing among the dispatchers. */
    long lostAt = NOT_LOST;

    long repeatedAt;

    Registration(ShardDispatcher holder, long quietUntil) {
      this.holder = holder;
      this.quietUntil = quietUntil;
    }

    /** Returns whether the holder is a later tenure on the dispatcher's host. */
    boolean isNewerThan(ShardDispatcher dispatcher) {
      return holder.host().equals(dispatcher.host()) && holder.token() > dispatcher.token();
    }

    boolean isLost() {
      return lostAt != NOT_LOST;
    }
  }
}
