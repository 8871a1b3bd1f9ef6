package org.burdockbay.core.configuration;

/**
 * Limits on what the dispatcher does of its own accord.
 *
 * @param retryBudget retries for each first attempt of a caller
 * @param hedgeBudget second attempts for each first attempt
 * @param maxEjectedShare share of the runners that may be ejected at once
 * @param retentionMillis time for which a finished submission is kept, in milliseconds
 */
public record PolicyRule(
    double retryBudget, double hedgeBudget, double maxEjectedShare, long retentionMillis) {

  /** The policy of a document without a policy section. */
  public static final PolicyRule DEFAULT = new PolicyRule(0.1, 0.02, 0.5, 120_000);
}
