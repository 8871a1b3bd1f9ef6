package org.burdockbay.core.lease;

import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.burdockbay.core.shard.ShardLayout;
import org.testng.annotations.Test;

/** What callers get from a fleet whose events take more than one host's processor. */
public class LargeFleetTest {

  private static final int DOMAINS = 3;
  private static final int HOSTS_PER_DOMAIN = 4;
  private static final int UPSTREAMS_PER_DOMAIN = 30;

  /** What an event takes of a small host, in microseconds. */
  private static final long EVENT_MICROS = 1_100;

  private static final int JOBS_PER_SECOND = 90;
  private static final int MAX_TASKS = 4;
  private static final long SUBMISSION_INTERVAL_MILLIS = 1_000 / JOBS_PER_SECOND;
  private static final long SECOND_MILLIS = 1_000;

  /** Guards against one dispatcher for all, whose processor is full while the other hosts idle. */
  @Test
  public void servesFleetTooLargeForOneHostsProcessor() {
    LeaseModel model =
        new LeaseModel(
            1,
            LeaseModel.Network.DISTINCT_TIMES,
            ShardLayout.of(DOMAINS * UPSTREAMS_PER_DOMAIN, DOMAINS),
            HOSTS_PER_DOMAIN,
            UPSTREAMS_PER_DOMAIN);
    model.eventMicros = EVENT_MICROS;
    SplittableRandom random = new SplittableRandom(1);
    submitFor(model, random, SECOND_MILLIS);
    int answers = model.answers;
    int completed = model.completed;
    submitFor(model, random, 4 * SECOND_MILLIS);
    double share = (double) (model.completed - completed) / (model.answers - answers);
    assertTrue(share > 0.95, "only %.3f of the jobs are completed".formatted(share));
  }

  private static void submitFor(LeaseModel model, SplittableRandom random, long millis) {
    for (long played = 0; played < millis; played += SUBMISSION_INTERVAL_MILLIS) {
      model.submit(1 + random.nextInt(MAX_TASKS));
      model.advance(SUBMISSION_INTERVAL_MILLIS);
    }
  }
}
