package org.burdockbay.core.membership;

import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardLayout;

/** What {@link Membership} wants done. */
public sealed interface MembershipEffect {

  /** This host takes the role of dispatcher of a shard. */
  record Claim(long epoch, ShardId shard) implements MembershipEffect {}

  /** This host gives the role up. */
  record Yield() implements MembershipEffect {}

  /** Who dispatches where has changed. */
  record RoutesChanged(RouteView view) implements MembershipEffect {}

  /** The fleet is divided into more shards than before. */
  record LayoutChanged(ShardLayout previous, ShardLayout current) implements MembershipEffect {}

  /** A host is no longer heard of. */
  record HostLost(String host) implements MembershipEffect {}

  /** A host is heard of for the first time, or again. */
  record HostFound(String host) implements MembershipEffect {}
}
