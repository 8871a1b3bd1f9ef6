package org.burdockbay.core.membership;

import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardLayout;

/** Effect requested by {@link Membership}. */
public sealed interface MembershipEffect {

  /** This host becomes the dispatcher of a shard. */
  record Claim(long epoch, ShardId shard) implements MembershipEffect {}

  /** This host gives up its dispatcher role. */
  record Yield() implements MembershipEffect {}

  /** The dispatchers or the live shards have changed. */
  record RoutesChanged(RouteView view) implements MembershipEffect {}

  /** The fleet is divided into more shards. */
  record LayoutChanged(ShardLayout previous, ShardLayout current) implements MembershipEffect {}

  /** No heartbeat of a host has arrived within the silence timeout. */
  record HostLost(String host) implements MembershipEffect {}

  /** The first heartbeat of a host has arrived, or the first one after it was lost. */
  record HostFound(String host) implements MembershipEffect {}
}
