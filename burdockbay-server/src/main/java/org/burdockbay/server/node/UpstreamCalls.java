package org.burdockbay.server.node;

import java.util.function.Consumer;
import org.burdockbay.core.lease.LeaseEffect;
import org.burdockbay.core.lease.LeaseEvent;

/**
 * Sends calls to upstreams.
 *
 * <p>Each call is answered exactly once, on any thread, with {@link
 * org.burdockbay.core.lease.OrderResult#NO_ANSWER} if the upstream doesn't answer in time.
 */
public interface UpstreamCalls extends AutoCloseable {

  /** Starts a run. */
  void start(LeaseEffect.Start start, Consumer<LeaseEvent> answer);

  /** Stops a run. */
  void stop(LeaseEffect.Stop stop, Consumer<LeaseEvent> answer);

  /** Renews a lease. */
  void renew(LeaseEffect.Renew renew, Consumer<LeaseEvent> answer);

  @Override
  void close();
}
