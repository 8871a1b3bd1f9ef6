package org.burdockbay.core.catalog;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * Decides for how long a host may act on the catalog that it has in force.
 *
 * <p>A host may act on a version for a limited time after the latest moment at which no newer
 * version had been accepted, as far as the leader of the agreement group has confirmed. A host that
 * hears no leader can't be told of a newer version; it continues with the version that it has,
 * unless it already knows of a newer one.
 *
 * <p>All times are in milliseconds of the host's monotonic clock. Not thread-safe, except {@link
 * #mayActOn}, which doesn't depend on the progress of the thread that calls the other methods.
 */
public final class CatalogFreshness {

  /** Silence after which no leader counts as heard, in milliseconds; three heartbeat intervals. */
  static final long LEADER_SILENCE_MILLIS = 450;

  /**
   * Delay of this host, in milliseconds, up to which the messages of a leader that sends them every
   * 150 ms don't appear as silence. After a longer one this host may have closed connections as
   * silent, and lost what had arrived over them.
   */
  static final long MAX_DELAY_MILLIS = 250;

  private static final int MAX_NEWER_VERSIONS = 64;

  private final long maxAgeMillis;
  private long version;

  /** Latest time before which no version newer than the one in force had been accepted. */
  private long confirmedAt = Long.MIN_VALUE;

  /** Version and time of the latest confirmation, whose version may not be in force yet. */
  private long latestVersion;

  private long latestConfirmedAt = Long.MIN_VALUE;

  /** Versions newer than the one in force, in ascending order. */
  private final Deque<NewerVersion> newerVersions = new ArrayDeque<>();

  private long leaderHeardAt;

  /** Start of the period in which each silence check followed the last one without a delay. */
  private long responsiveSince;

  private long lastCheckEndedAt = Long.MIN_VALUE / 2;

  /** Latest time at which no leader had been heard for {@link #LEADER_SILENCE_MILLIS}. */
  private long leaderSilentAt = Long.MIN_VALUE;

  private volatile Permit permit = new Permit(0, Long.MIN_VALUE);

  /**
   * Creates the state of a host without a catalog.
   *
   * @param maxAgeMillis time after the acceptance of a version within which it must be in force
   * @param now current time
   */
  public CatalogFreshness(long maxAgeMillis, long now) {
    this.maxAgeMillis = maxAgeMillis;
    this.leaderHeardAt = now;
    this.responsiveSince = now;
  }

  /** Returns whether a host may act on a version now; safe on any thread. */
  public boolean mayActOn(long actedVersion, long now) {
    Permit current = permit;
    return actedVersion >= current.version && now <= current.expiresAt;
  }

  /** Records that a version has come into force on this host. */
  public void putInForce(long newVersion) {
    version = newVersion;
    while (!newerVersions.isEmpty() && newerVersions.peek().version <= version) {
      newerVersions.remove();
    }
    if (latestVersion <= version) {
      confirmedAt = Math.max(confirmedAt, latestConfirmedAt);
    }
    updatePermit();
  }

  /** Records that a version is in force on another host, whose message arrived at a given time. */
  public void handleAnnouncement(long announcedVersion, long arrivedAt) {
    if (addIfNewer(announcedVersion, arrivedAt)) {
      updatePermit();
    }
  }

  /**
   * Records a confirmation by the leader.
   *
   * @param confirmedVersion newest accepted version
   * @param confirmationTime time before which no newer version had been accepted
   * @param arrivedAt when the message arrived
   */
  public void handleConfirmation(long confirmedVersion, long confirmationTime, long arrivedAt) {
    if (confirmationTime > latestConfirmedAt) {
      latestVersion = confirmedVersion;
      latestConfirmedAt = confirmationTime;
    }
    if (confirmedVersion <= version) {
      confirmedAt = Math.max(confirmedAt, confirmationTime);
    }
    addIfNewer(confirmedVersion, arrivedAt);
    updatePermit();
  }

  /** Records that a message of a host that leads the agreement group arrived at a given time. */
  public void leaderHeard(long arrivedAt) {
    leaderHeardAt = Math.max(leaderHeardAt, arrivedAt);
  }

  /** Returns whether a silence check is due. */
  public boolean needsSilenceCheck(long now) {
    long knownAt = Math.max(confirmedAt, leaderSilentAt);
    return knownAt == Long.MIN_VALUE || now - knownAt > LEADER_SILENCE_MILLIS;
  }

  /**
   * Records a silence check: all messages which had arrived at this host when it began are handled
   * now. The absence of a leader's message shows that none had arrived only if this host wasn't
   * delayed meanwhile.
   */
  public void silenceChecked(long beganAt, long endedAt) {
    if (endedAt - beganAt > MAX_DELAY_MILLIS) {
      responsiveSince = endedAt;
    } else if (beganAt - lastCheckEndedAt > MAX_DELAY_MILLIS) {
      responsiveSince = beganAt;
    }
    lastCheckEndedAt = endedAt;
    if (beganAt - Math.max(leaderHeardAt, responsiveSince) >= LEADER_SILENCE_MILLIS) {
      leaderSilentAt = Math.max(leaderSilentAt, beganAt);
      updatePermit();
    }
  }

  /** Returns the time since the last confirmation of the version in force, if there was one. */
  public OptionalLong confirmationAgeMillis(long now) {
    return confirmedAt == Long.MIN_VALUE
        ? OptionalLong.empty()
        : OptionalLong.of(now - confirmedAt);
  }

  /** Returns the newest version known to be in force anywhere. */
  public long newestKnownVersion() {
    return newerVersions.isEmpty() ? version : newerVersions.getLast().version;
  }

  /** Returns the time since a leader was heard, or since the start. */
  public long leaderSilenceMillis(long now) {
    return now - leaderHeardAt;
  }

  private boolean addIfNewer(long newVersion, long arrivedAt) {
    boolean added = newVersion > newestKnownVersion() && newerVersions.size() < MAX_NEWER_VERSIONS;
    if (added) {
      newerVersions.add(new NewerVersion(newVersion, arrivedAt));
    }
    return added;
  }

  private void updatePermit() {
    long knownAt = Math.max(confirmedAt, leaderSilentAt);
    if (!newerVersions.isEmpty()) {
      knownAt = Math.min(knownAt, newerVersions.peek().knownAt);
    }
    boolean unknown = knownAt == Long.MIN_VALUE;
    permit = new Permit(version, unknown ? Long.MIN_VALUE : knownAt + maxAgeMillis);
  }

  /**
   * A version that isn't in force here.
   *
   * @param knownAt when the first message about it arrived
   */
  private record NewerVersion(long version, long knownAt) {}

  /** Permission to act on a version, or a newer one, until a time. */
  private record Permit(long version, long expiresAt) {}
}
