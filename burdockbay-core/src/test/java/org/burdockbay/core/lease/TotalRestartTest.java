package org.burdockbay.core.lease;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.burdockbay.core.shard.ShardLayout;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What callers get after all hosts were killed at once, while the upstreams went on. */
public class TotalRestartTest {

  private static final long DOWN_MILLIS = 1_200;
  private static final long BEGINS_AT_MILLIS = 1_796_256_000_000L;
  private static final int TOKEN_BITS = 24;
  private static final long LATE_MILLIS = 4_000;
  private static final int SEEDS = 3;
  private static final long GAP_MILLIS = 300;
  private static final int LAST_CALLERS = 6;

  /** Returns by how many rounds the upstreams' token is ahead of all that the hosts know. */
  @DataProvider
  public Object[][] roundsAhead() {
    return new Object[][] {{0}, {5}, {60}, {600}};
  }

  /**
   * Every caller would be refused for as long as the upstreams refuse the restarted dispatcher's
   * token: no disk tells the highest one, and the time of day is behind it.
   */
  @Test(dataProvider = "roundsAhead")
  public void servesInTimeThoughNobodyKnowsTheHighestToken(int rounds) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      LeaseModel model = model(seed);
      restart(
          model,
          () -> {
            long strange = highestToken(model) + ((long) rounds << TOKEN_BITS);
            model.upstreams.forEach(upstream -> upstream.meets(strange));
          });
      checkServed(model, "seed " + seed + ", " + rounds + " rounds ahead");
    }
  }

  /** The same with a disk on one host, and clocks that were stepped back before the restart. */
  @Test
  public void servesInTimeThoughClocksWentBack() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      LeaseModel model = model(seed);
      model.hosts.values().iterator().next().keepsEpoch = true;
      model.advance(1_000);
      long step = -2_400 * seed;
      restart(
          model,
          () ->
              model
                  .hosts
                  .values()
                  .forEach(host -> host.aheadAtStart = step + model.random().nextLong(2_400)));
      checkServed(model, "seed " + seed);
    }
  }

  /** The host whose disk tells the highest token comes back when the others have claimed. */
  @Test
  public void servesInTimeThoughTheHostThatRemembersComesBackLast() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      LeaseModel model = model(seed);
      ModelEntryHost last = List.copyOf(model.hosts.values()).getLast();
      restart(
          model,
          () -> {
            last.keepsEpoch = true;
            last.savedEpoch = highestToken(model) + (600L << TOKEN_BITS);
            model.upstreams.forEach(upstream -> upstream.meets(last.savedEpoch));
            model.after(DOWN_MILLIS, last::kill);
            model.after(DOWN_MILLIS + LATE_MILLIS, last::recover);
          });
      checkServed(model, "seed " + seed);
    }
  }

  /** Hosts that have just started stand still now and then, and the role goes round. */
  @Test
  public void servesInTimeThoughRestartedHostsStandStill() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      LeaseModel model = model(seed);
      restart(model, () -> {});
      for (int i = 0; i < 12; i++) {
        model.hosts.values().stream()
            .filter(ModelEntryHost::dispatches)
            .forEach(
                host -> {
                  host.freeze(false);
                  model.after(300 + model.random().nextLong(200), host::thaw);
                });
        submitFor(model, 600);
      }
      checkServed(model, "seed " + seed);
    }
  }

  private static LeaseModel model(long seed) {
    LeaseModel model =
        new LeaseModel(
            seed, LeaseModel.Network.SPACED, ShardLayout.UNDIVIDED, 2, 3, BEGINS_AT_MILLIS);
    submitFor(model, 1_000);
    return model;
  }

  private static long highestToken(LeaseModel model) {
    return model.upstreams.stream().mapToLong(ModelUpstream::token).max().orElseThrow();
  }

  /** Kills all hosts and starts them again. */
  private static void restart(LeaseModel model, Runnable meanwhile) {
    model.hosts.values().forEach(model::kill);
    meanwhile.run();
    model.advance(DOWN_MILLIS);
    model.hosts.values().forEach(ModelEntryHost::recover);
  }

  /** Checks that callers who come later than the stated aim after the restart are all served. */
  private static void checkServed(LeaseModel model, String play) {
    submitFor(model, LeaseModel.RECOVERY_MILLIS - LeaseModel.PATIENCE_MILLIS);
    model.advance(LeaseModel.PATIENCE_MILLIS);
    int before = model.completed;
    submitFor(model, LAST_CALLERS * GAP_MILLIS);
    model.advance(LeaseModel.PATIENCE_MILLIS);
    assertEquals(model.completed - before, LAST_CALLERS, play + ": served");
  }

  private static void submitFor(LeaseModel model, long millis) {
    for (long passed = 0; passed < millis; passed += GAP_MILLIS) {
      model.submit(1);
      model.advance(GAP_MILLIS);
    }
  }
}
