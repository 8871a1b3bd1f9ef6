package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.List;

/** What the parts of a dispatcher share while an event is handled: time, token and effects. */
final class DispatchContext {

  private List<LeaseEffect> effects = new ArrayList<>();
  private long now;
  private long arrivedAt;
  private long token;
  private long lastSequence;

  /** Returns the time in milliseconds. */
  long now() {
    return now;
  }

  /**
   * Returns when what is handled arrived at this host, in milliseconds.
   *
   * <p>Where the host is behind with its work, this shows how old a message is, and {@link #now}
   * doesn't.
   */
  long arrivedAt() {
    return arrivedAt;
  }

  /** Returns for how long what is handled has waited here, in milliseconds. */
  long waitedMillis() {
    return now - arrivedAt;
  }

  /** Lets time pass; it never goes back. */
  void advanceTo(long time) {
    now = Math.max(now, time);
    arrivedAt = now;
  }

  /** Notes that what is handled arrived earlier. */
  void setArrivedAt(long time) {
    arrivedAt = Math.min(now, time);
  }

  /**
   * Returns the next number of the order in which this host does and learns things; from 1.
   *
   * <p>The clock can't tell which of two events in one millisecond came first.
   */
  long nextSequence() {
    lastSequence++;
    return lastSequence;
  }

  /** Returns the fencing token of the role; 0 without it. */
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

  /** Notes a decision for the log; {@code fields} are key=value pairs. */
  void logEvent(String event, String fields) {
    emit(new LeaseEffect.LogEvent(event, fields));
  }

  List<LeaseEffect> takeEffects() {
    List<LeaseEffect> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }
}
