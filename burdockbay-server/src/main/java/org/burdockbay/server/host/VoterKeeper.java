package org.burdockbay.server.host;

import java.util.Optional;
import java.util.function.Predicate;
import org.burdockbay.core.agreement.RaftNode;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.agreement.VoterPlanner;
import org.burdockbay.core.agreement.VoterSet;
import org.burdockbay.server.logging.EventLog;

/**
 * Changes the members of the Raft group as {@link VoterPlanner} plans, one change at a time; runs
 * on the leader.
 */
public final class VoterKeeper {

  /**
   * Time to complete the voters after this process has started or has become the leader, in
   * milliseconds. Meanwhile, changes wait: one that is acknowledged by too few voters could be
   * lost.
   */
  static final long COMPLETION_TIMEOUT_MILLIS = 2_000;

  private final VoterPlanner planner;
  private final StorageHosts hosts;
  private final Predicate<String> isReplaceable;
  private final EventLog log;
  private final long startedAt;
  private long term;
  private long leaderSince;

  /**
   * Creates a keeper.
   *
   * @param isReplaceable whether the voter on the host with the given id may be replaced because of
   *     the silence of the host or a failure of its storage
   * @param now current time, in milliseconds
   */
  public VoterKeeper(
      VoterPlanner planner,
      StorageHosts hosts,
      Predicate<String> isReplaceable,
      EventLog log,
      long now) {
    this.planner = planner;
    this.hosts = hosts;
    this.isReplaceable = isReplaceable;
    this.log = log;
    this.startedAt = now;
  }

  /**
   * Proposes the next change of members, if one is due.
   *
   * @return whether a change was proposed
   */
  public boolean reconcile(RaftNode node, long now) {
    Optional<VoterSet> next = planner.nextChange(view(node));
    boolean proposed = next.isPresent() && node.proposeMembers(next.get(), now);
    if (proposed) {
      log.info(
          "voters-changed", "voters=" + next.get().voters() + " learners=" + next.get().learners());
    }
    return proposed;
  }

  /** Returns whether changes must wait until more hosts with a data folder have become voters. */
  public boolean awaitsVoters(RaftNode node, long now) {
    if (node.term() != term) {
      term = node.term();
      leaderSince = now;
    }
    VoterPlanner.GroupView view = view(node);
    if (planner.bearsTolerance(view)) {
      return false;
    }
    // Just after the start, hosts that could become voters may not have been heard of yet.
    return now - startedAt < COMPLETION_TIMEOUT_MILLIS
        || (planner.lacksVoters(view) && now - leaderSince < COMPLETION_TIMEOUT_MILLIS);
  }

  private VoterPlanner.GroupView view(RaftNode node) {
    return new VoterPlanner.GroupView(
        node.voters(),
        node.self(),
        hosts.live(),
        hosts.domains(),
        node::isCaughtUp,
        (VoterId voter) -> isReplaceable.test(voter.host()));
  }
}
