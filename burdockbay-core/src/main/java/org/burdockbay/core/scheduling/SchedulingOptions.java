package org.burdockbay.core.scheduling;

/**
 * Says which parts of the scheduling for large fleets are on.
 *
 * <p>An option that is on takes effect only where the fleet calls for it; see each part.
 *
 * @param predictiveRouting whether entry hosts select shards by the predicted completion of work
 * @param fairShares whether dispatchers share scarce capacity by weight
 * @param upstreamProfiles whether dispatchers learn the speeds of upstreams
 * @param stagedRecovery whether hosts restore service in stages after a restart
 * @param weightedRoles whether dispatchers are elected by the weights of hosts
 */
public record SchedulingOptions(
    boolean predictiveRouting,
    boolean fairShares,
    boolean upstreamProfiles,
    boolean stagedRecovery,
    boolean weightedRoles) {

  /** All options off. */
  public static final SchedulingOptions NONE = builder().build();

  /** All options on. */
  public static final SchedulingOptions ALL =
      builder()
          .predictiveRouting(true)
          .fairShares(true)
          .upstreamProfiles(true)
          .stagedRecovery(true)
          .weightedRoles(true)
          .build();

  /** Returns a builder with all options off. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds options; those that aren't set are off. */
  public static final class Builder {

    private boolean predictiveRouting;
    private boolean fairShares;
    private boolean upstreamProfiles;
    private boolean stagedRecovery;
    private boolean weightedRoles;

    private Builder() {}

    /** Sets whether entry hosts select shards by the predicted completion of work. */
    public Builder predictiveRouting(boolean enabled) {
      predictiveRouting = enabled;
      return this;
    }

    /** Sets whether dispatchers share scarce capacity by weight. */
    public Builder fairShares(boolean enabled) {
      fairShares = enabled;
      return this;
    }

    /** Sets whether dispatchers learn the speeds of upstreams. */
    public Builder upstreamProfiles(boolean enabled) {
      upstreamProfiles = enabled;
      return this;
    }

    /** Sets whether hosts restore service in stages after a restart. */
    public Builder stagedRecovery(boolean enabled) {
      stagedRecovery = enabled;
      return this;
    }

    /** Sets whether dispatchers are elected by the weights of hosts. */
    public Builder weightedRoles(boolean enabled) {
      weightedRoles = enabled;
      return this;
    }

    /** Returns the options. */
    public SchedulingOptions build() {
      return new SchedulingOptions(
          predictiveRouting, fairShares, upstreamProfiles, stagedRecovery, weightedRoles);
    }
  }
}
