package org.burdockbay.core.limits;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests {@link RateLimit}. */
public class RateLimitTest {

  /** Guards against a limit that is exceeded, or that never admits anything again. */
  @Test
  public void admitsLimitedNumberInEachSecond() {
    RateLimit limit = new RateLimit(2);
    for (long second = 0; second < 3; second++) {
      long now = 5_000 + second * 1_000;
      assertTrue(limit.tryAdd(now));
      assertTrue(limit.tryAdd(now + 400));
      assertFalse(limit.tryAdd(now + 999));
    }
  }
}
