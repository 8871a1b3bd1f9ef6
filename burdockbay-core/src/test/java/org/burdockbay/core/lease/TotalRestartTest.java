package org.burdockbay.core.lease;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.burdockbay.core.shard.ShardLayout;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that callers are served again after all hosts were killed while the upstreams kept running.
 */
public class TotalRestartTest {

  private static final long DOWNTIME_MILLIS = 1_200;
  private static final long START_TIME_MILLIS = 1_796_256_000_000L;
  private static final int TOKEN_BITS = 24;
  private static final long LATE_RESTART_DELAY_MILLIS = 4_000;
  private static final int SEEDS = 3;
  private static final long SUBMISSION_INTERVAL_MILLIS = 300;
  private static final int CHECKED_CALLERS = 6;

  /** Returns the number of rounds by which the upstreams' token exceeds all tokens of the hosts. */
  @DataProvider
  public Object[][] roundsAhead() {
    return new Object[][] {{0}, {5}, {60}, {600}};
  }

  /**
   * Guards against refusing every caller for as long as the upstreams refuse the restarted
   * dispatcher's token: no disk holds the highest token, and the time of day is behind it.
   */
  @Test(dataProvider = "roundsAhead")
  public void recoversInTimeWithUnknownHighestToken(int rounds) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      LeaseModel model = model(seed);
      restartAllHosts(
          model,
          () -> {
            long unknownToken = highestToken(model) + ((long) rounds << TOKEN_BITS);
            model.upstreams.forEach(upstream -> upstream.observeToken(unknownToken));
          });
      checkServed(model, "seed " + seed + ", " + rounds + " rounds ahead");
    }
  }

  /**
   * Guards against refused tokens when one host has a disk and all clocks were set back before the
   * restart.
   */
  @Test
  public void recoversInTimeAfterClocksWereSetBack() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      LeaseModel model = model(seed);
      model.hosts.values().iterator().next().persistsEpoch = true;
      model.advance(1_000);
      long step = -2_400 * seed;
      restartAllHosts(
          model,
          () ->
              model
                  .hosts
                  .values()
                  .forEach(
                      host ->
                          host.clockAheadAtStartMillis = step + model.random().nextLong(2_400)));
      checkServed(model, "seed " + seed);
    }
  }

  /**
   * Guards against refused tokens when the host whose disk holds the highest token restarts after
   * the other hosts have claimed the role.
   */
  @Test
  public void recoversInTimeWhenHostWithHighestTokenRestartsLast() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      LeaseModel model = model(seed);
      ModelEntryHost last = List.copyOf(model.hosts.values()).getLast();
      restartAllHosts(
          model,
          () -> {
            last.persistsEpoch = true;
            last.savedEpoch = highestToken(model) + (600L << TOKEN_BITS);
            model.upstreams.forEach(upstream -> upstream.observeToken(last.savedEpoch));
            model.schedule(DOWNTIME_MILLIS, last::kill);
            model.schedule(DOWNTIME_MILLIS + LATE_RESTART_DELAY_MILLIS, last::recover);
          });
      checkServed(model, "seed " + seed);
    }
  }

  /**
   * Guards against unserved callers when restarted hosts pause repeatedly, so that the role moves
   * from host to host.
   */
  @Test
  public void recoversInTimeWhenRestartedHostsPause() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      LeaseModel model = model(seed);
      restartAllHosts(model, () -> {});
      for (int i = 0; i < 12; i++) {
        model.hosts.values().stream()
            .filter(ModelEntryHost::isDispatching)
            .forEach(
                host -> {
                  host.pause(false);
                  model.schedule(300 + model.random().nextLong(200), host::resume);
                });
        submitFor(model, 600);
      }
      checkServed(model, "seed " + seed);
    }
  }

  private static LeaseModel model(long seed) {
    LeaseModel model =
        new LeaseModel(
            seed,
            LeaseModel.Network.DISTINCT_TIMES,
            ShardLayout.UNDIVIDED,
            2,
            3,
            START_TIME_MILLIS);
    submitFor(model, 1_000);
    return model;
  }

  private static long highestToken(LeaseModel model) {
    return model.upstreams.stream().mapToLong(ModelUpstream::token).max().orElseThrow();
  }

  /**
   * Kills all hosts and restarts them.
   *
   * @param meanwhile runs while all hosts are down
   */
  private static void restartAllHosts(LeaseModel model, Runnable meanwhile) {
    model.hosts.values().forEach(model::kill);
    meanwhile.run();
    model.advance(DOWNTIME_MILLIS);
    model.hosts.values().forEach(ModelEntryHost::recover);
  }

  /** Checks that all callers that arrive after the stated recovery time are served. */
  private static void checkServed(LeaseModel model, String description) {
    submitFor(model, LeaseModel.MAX_RECOVERY_MILLIS - LeaseModel.CALLER_TIMEOUT_MILLIS);
    model.advance(LeaseModel.CALLER_TIMEOUT_MILLIS);
    int before = model.completed;
    submitFor(model, CHECKED_CALLERS * SUBMISSION_INTERVAL_MILLIS);
    model.advance(LeaseModel.CALLER_TIMEOUT_MILLIS);
    assertEquals(model.completed - before, CHECKED_CALLERS, description + ": served");
  }

  private static void submitFor(LeaseModel model, long millis) {
    for (long passed = 0; passed < millis; passed += SUBMISSION_INTERVAL_MILLIS) {
      model.submit(1);
      model.advance(SUBMISSION_INTERVAL_MILLIS);
    }
  }
}
