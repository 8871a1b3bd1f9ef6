package org.burdockbay.core.dispatch;

/**
 * A budget that limits extra work to a ratio of the regular work.
 *
 * <p>A fixed number of retries per request multiplies the load when all requests fail. A ratio of
 * the first attempts bounds the extra load in all cases (the retry budget of Finagle).
 */
final class RatioBudget {

  private static final double BURST = 10.0;

  private final double ratio;
  private double balance = BURST;

  RatioBudget(double ratio) {
    this.ratio = ratio;
    if (ratio == 0.0) {
      balance = 0.0;
    }
  }

  void deposit() {
    balance = Math.min(BURST + 1000.0 * ratio, balance + ratio);
  }

  boolean tryWithdraw() {
    if (balance < 1.0) {
      return false;
    }
    balance -= 1.0;
    return true;
  }
}
