package org.burdockbay.server.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests {@link Withdrawals}. */
public class WithdrawalsTest {

  /** Guards against hosts that go on with cancelled work after their connection was replaced. */
  @Test
  public void keepsCancellationsForHostsThatReconnect() {
    Withdrawals withdrawals = new Withdrawals(2);
    assertTrue(withdrawals.tryAdd("a", 10_000));
    assertTrue(withdrawals.tryAdd("b", 10_001));
    assertEquals(withdrawals.recent(20_000), List.of("a", "b"));
    assertEquals(withdrawals.recent(10_001 + Withdrawals.RETENTION_MILLIS), List.of("b"));
    assertEquals(withdrawals.recent(10_002 + Withdrawals.RETENTION_MILLIS), List.of());
  }

  /** Guards against unbounded memory, and against telling others of a refused cancellation. */
  @Test
  public void dropsCancellationsBeyondTheRate() {
    Withdrawals withdrawals = new Withdrawals(1);
    assertTrue(withdrawals.tryAdd("a", 10_000));
    assertFalse(withdrawals.tryAdd("b", 10_000));
    assertEquals(withdrawals.recent(10_000), List.of("a"));
  }
}
