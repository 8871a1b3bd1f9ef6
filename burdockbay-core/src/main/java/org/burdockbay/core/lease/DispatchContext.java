package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.List;
import org.burdockbay.core.profile.UpstreamProfiles;
import org.burdockbay.core.scheduling.SchedulingOptions;

/**
 * Holds the state that the parts of a dispatcher share while an event is handled: the time, the
 * fencing token, the effects, and what is known about upstreams.
 */
final class DispatchContext {

  private final SchedulingOptions options;
  private final UpstreamProfiles profiles;
  private List<LeaseEffect> effects = new ArrayList<>();
  private long now;
  private long arrivedAt;
  private long token;
  private long lastSequence;

  DispatchContext(SchedulingOptions options) {
    this.options = options;
    this.profiles = new UpstreamProfiles(options.upstreamProfiles());
  }

  /** Returns the scheduling options that are on. */
  SchedulingOptions options() {
    return options;
  }

  /** Returns what is known about the speeds of upstreams and the run times of tasks. */
  UpstreamProfiles profiles() {
    return profiles;
  }

  /** Returns the time of handling, in milliseconds. */
  long now() {
    return now;
  }

  /**
   * Returns when the current event arrived at this host, in milliseconds.
   *
   * <p>On an overloaded host, this shows how old a message is, while {@link #now} doesn't.
   */
  long arrivedAt() {
    return arrivedAt;
  }

  /** Returns how long the current event has waited on this host, in milliseconds. */
  long waitedMillis() {
    return now - arrivedAt;
  }

  /** Advances the time, which never goes back, and resets the arrival time to it. */
  void advanceTo(long time) {
    now = Math.max(now, time);
    arrivedAt = now;
    profiles.advanceTo(now);
  }

  /** Sets the time at which the current event arrived, in milliseconds. */
  void setArrivedAt(long time) {
    arrivedAt = Math.min(now, time);
  }

  /**
   * Returns the next sequence number, from 1, which orders the events and orders of this host.
   *
   * <p>The clock can't order two events within one millisecond.
   */
  long nextSequence() {
    lastSequence++;
    return lastSequence;
  }

  /** Returns the fencing token of the role; 0 without the role. */
  long token() {
    return token;
  }

  void setToken(long newToken) {
    token = newToken;
  }

  boolean isDispatching() {
    return token != 0;
  }

  void emit(LeaseEffect effect) {
    effects.add(effect);
  }

  /** Emits a log line for a decision; {@code fields} are key=value pairs. */
  void logEvent(String event, String fields) {
    emit(new LeaseEffect.LogEvent(event, fields));
  }

  List<LeaseEffect> takeEffects() {
    List<LeaseEffect> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }
}
