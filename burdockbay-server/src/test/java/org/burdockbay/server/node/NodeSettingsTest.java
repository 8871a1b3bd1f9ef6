package org.burdockbay.server.node;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.burdockbay.core.lease.LeaseTiming;
import org.burdockbay.core.membership.HostDescriptor;
import org.burdockbay.core.scheduling.SchedulingOptions;
import org.burdockbay.core.shard.ShardAssignment;
import org.burdockbay.server.settings.HostAddress;
import org.testng.annotations.Test;

/** Tests {@link NodeSettings}. */
public class NodeSettingsTest {

  private static final HostAddress ADDRESS = new HostAddress("10.0.0.1", 1);

  /** Guards against a dispatcher that keeps the default delay, also once the seeds have changed. */
  @Test
  public void passesRetryDelayToLeaseTiming() {
    NodeSettings changed = settings(700).withSeeds(List.of(ADDRESS));
    assertEquals(changed.leaseTiming(), LeaseTiming.DEFAULT.withCallerRetryDelay(700));
    assertEquals(changed.seeds(), List.of(ADDRESS));
  }

  /** Guards against a wrong wait in the warning; a run may last 450 + 715 + 60 ms. */
  @Test
  public void reportsWaitForRunsThatOutlastRetryDelay() {
    assertEquals(settings(1_000).unregisteredWaitMillis(), 225);
    assertEquals(settings(1_224).unregisteredWaitMillis(), 1);
    assertEquals(settings(1_225).unregisteredWaitMillis(), 0);
    assertEquals(settings(5_000).unregisteredWaitMillis(), 0);
  }

  private static NodeSettings settings(long callerRetryDelayMillis) {
    return new NodeSettings(
        "c",
        new HostDescriptor("10.0.0.1", "entry", "north", ADDRESS.toString()),
        ADDRESS,
        Set.of(),
        true,
        List.of(),
        Optional.empty(),
        false,
        SchedulingOptions.NONE,
        ShardAssignment.UNKNOWN_WEIGHT,
        callerRetryDelayMillis);
  }
}
