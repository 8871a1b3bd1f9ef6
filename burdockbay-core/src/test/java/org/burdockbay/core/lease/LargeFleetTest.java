package org.burdockbay.core.lease;

import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.burdockbay.core.shard.ShardLayout;
import org.testng.annotations.Test;

/** Tests a fleet whose events need more than the processor of one host. */
public class LargeFleetTest {

  private static final int DOMAINS = 3;
  private static final int HOSTS_PER_DOMAIN = 4;
  private static final int UPSTREAMS_PER_DOMAIN = 30;

  /** Processor time of a small host for one event, in microseconds. */
  private static final long EVENT_MICROS = 1_100;

  private static final int JOBS_PER_SECOND = 90;
  private static final int MAX_TASKS = 4;
  private static final long SUBMISSION_INTERVAL_MILLIS = 1_000 / JOBS_PER_SECOND;
  private static final long SECOND_MILLIS = 1_000;

  /**
   * Guards against a single dispatcher for the whole fleet, whose processor is saturated while
   * those of the other hosts idle.
   */
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
    int answersBefore = model.answers;
    int completedBefore = model.completed;
    submitFor(model, random, 4 * SECOND_MILLIS);
    double share = (double) (model.completed - completedBefore) / (model.answers - answersBefore);
    assertTrue(share > 0.95, "only %.3f of the jobs are completed".formatted(share));
  }

  private static void submitFor(LeaseModel model, SplittableRandom random, long millis) {
    for (long elapsed = 0; elapsed < millis; elapsed += SUBMISSION_INTERVAL_MILLIS) {
      model.submit(1 + random.nextInt(MAX_TASKS));
      model.advance(SUBMISSION_INTERVAL_MILLIS);
    }
  }
}
