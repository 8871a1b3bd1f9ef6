package org.burdockbay.core.configuration;

/**
 * Limits on retries, hedging and ejection, and the retention of finished submissions.
 *
 * @param retryBudget maximum number of retries per first attempt of a caller
 * @param hedgeBudget maximum number of hedged attempts per first attempt
 * @param maxEjectedShare maximum share of a domain's runners that may be ejected at the same time
 * @param retentionMillis time for which the answer of a finished submission is retained, in
 *     milliseconds
 */
public record PolicyRule(
    double retryBudget, double hedgeBudget, double maxEjectedShare, long retentionMillis) {

  /** The policy that applies if a document has no policy section. */
  public static final PolicyRule DEFAULT = new PolicyRule(0.1, 0.02, 0.5, 120_000);
}
