package org.burdockbay.core.lease;

import java.util.Collection;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;

/**
 * Tells how much room upstreams have for tasks like those that came lately.
 *
 * <p>What is left over on an upstream beside its tasks is no room if no task fits into it; summed
 * up over the upstreams of a full shard it would look like room for several.
 */
final class RoomMeter {

  private static final int MILLICORES_PER_CORE = 1_000;

  /** The weight of the newest task in the usual size of one. */
  private static final double NEWEST_WEIGHT = 0.02;

  private double usualMillicores;

  /** Takes note of the sizes of the tasks of submitted work. */
  void submitted(WorkRequest request) {
    for (WorkStep step : request.steps()) {
      double millicores = step.size().cpuMillicores();
      usualMillicores =
          usualMillicores == 0
              ? millicores
              : usualMillicores + NEWEST_WEIGHT * (millicores - usualMillicores);
    }
  }

  /** Returns the free whole cores that tasks of the usual size can take. */
  int freeCores(Collection<UpstreamLease> open) {
    double free = 0;
    for (UpstreamLease upstream : open) {
      free += usable(Math.max(0, upstream.free().cpuMillicores()));
    }
    return (int) (free / MILLICORES_PER_CORE);
  }

  private double usable(long millicores) {
    return usualMillicores == 0
        ? millicores
        : Math.floor(millicores / usualMillicores) * usualMillicores;
  }
}
