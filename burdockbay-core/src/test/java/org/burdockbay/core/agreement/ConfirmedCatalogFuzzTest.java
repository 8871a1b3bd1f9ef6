package org.burdockbay.core.agreement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.burdockbay.core.FuzzOptions;
import org.burdockbay.core.catalog.CatalogConfirmation;
import org.burdockbay.core.catalog.CatalogFreshness;
import org.testng.annotations.Test;

/** Tests a host without a disk whose messages from and to the voters take any time. */
public class ConfirmedCatalogFuzzTest {

  private static final int RUNS = FuzzOptions.exampleCount(300);
  private static final int STEPS = 3_000;

  /** Guards against acting on a version for longer than its bound after its successor's commit. */
  @Test
  public void actsOnNoVersionReplacedLongAgo() {
    for (long seed = FuzzOptions.seed(); seed < FuzzOptions.seed() + RUNS; seed++) {
      new Run(seed).run();
    }
    System.out.println(FuzzOptions.summary("confirmed-catalog"));
  }

  /** Voters whose entries stand for versions, and a host whose clock differs from theirs. */
  private static final class Run {

    private static final int MAX_AGE_MILLIS = 300;
    private static final int CLOCK_LEAD_MILLIS = 5_000;
    private static final int VOTERS = 3;

    private final long seed;
    private final SplittableRandom random;
    private final RaftModel model = new RaftModel(VOTERS);
    private final CatalogFreshness freshness;
    private final Map<VoterId, Deque<Sent<CatalogConfirmation>>> toHost = new HashMap<>();
    private final Map<VoterId, Deque<Sent<Long>>> toVoters = new HashMap<>();
    private final Map<VoterId, Sent<Long>> echoes = new HashMap<>();
    private long newestHeard;
    private long inForce;
    private long actions;
    private int maxDelayMillis;

    Run(long seed) {
      this.seed = seed;
      this.random = new SplittableRandom(seed);
      this.maxDelayMillis = 1 + random.nextInt(400);
      this.freshness = new CatalogFreshness(MAX_AGE_MILLIS, hostTime());
      for (RaftModel.Member member : model.members) {
        toHost.put(member.id, new ArrayDeque<>());
        toVoters.put(member.id, new ArrayDeque<>());
      }
    }

    void run() {
      for (int step = 0; step < STEPS; step++) {
        runVoters();
        exchange();
        check();
      }
      FuzzOptions.recordExample("confirmed-catalog", STEPS, actions);
    }

    private void runVoters() {
      int member = random.nextInt(VOTERS);
      RaftModel.Member chosen = model.members.get(member);
      switch (random.nextInt(60)) {
        case 0 -> chosen.partitioned = !chosen.partitioned;
        case 1 -> chosen.crash(random.nextInt(3));
        case 2 -> chosen.paused = !chosen.paused;
        case 3, 4, 5, 6 -> chosen.restartIfDown();
        case 7, 8, 9 -> {
          chosen.partitioned = false;
          chosen.paused = false;
        }
        case 10, 11, 12 -> model.propose(member);
        default -> {
          model.tick(member, 1 + random.nextInt(4));
          chosen.sync();
          for (int i = random.nextInt(6); i > 0; i--) {
            model.deliver(random.nextInt(1_000), false);
          }
        }
      }
    }

    private void exchange() {
      for (RaftModel.Member member : model.members) {
        if (member.isRunning() && random.nextInt(3) == 0) {
          receiveAtVoter(member);
          sendToHost(member);
        }
        if (random.nextInt(3) == 0) {
          toVoters.get(member.id).add(new Sent<>(hostTime(), delayed()));
        }
        receiveAtHost(member.id);
      }
      if (newestHeard > inForce && random.nextInt(10) == 0) {
        inForce = newestHeard;
        freshness.putInForce(inForce);
      }
    }

    private void receiveAtVoter(RaftModel.Member member) {
      Deque<Sent<Long>> arriving = toVoters.get(member.id);
      while (!arriving.isEmpty() && arriving.peek().arrivesAt <= model.now()) {
        echoes.put(member.id, new Sent<>(arriving.remove().content, model.now()));
      }
    }

    private void sendToHost(RaftModel.Member member) {
      if (member.node.role() != RaftRole.LEADER) {
        return;
      }
      OptionalLong confirmedAt = member.node.confirmedAt();
      Sent<Long> echo = echoes.get(member.id);
      CatalogConfirmation confirmation =
          new CatalogConfirmation(
              member.appliedIndex,
              confirmedAt.isEmpty()
                  ? OptionalLong.empty()
                  : OptionalLong.of(Math.max(0, model.now() - confirmedAt.getAsLong())),
              echo == null ? OptionalLong.empty() : OptionalLong.of(echo.content),
              echo == null ? 0 : model.now() - echo.arrivesAt);
      toHost.get(member.id).add(new Sent<>(confirmation, delayed()));
    }

    private void receiveAtHost(VoterId from) {
      Deque<Sent<CatalogConfirmation>> arriving = toHost.get(from);
      while (!arriving.isEmpty() && arriving.peek().arrivesAt <= model.now()) {
        CatalogConfirmation confirmation = arriving.remove().content;
        newestHeard = Math.max(newestHeard, confirmation.version());
        confirmation
            .confirmedAt(hostTime())
            .ifPresent(
                confirmedAt ->
                    freshness.handleConfirmation(confirmation.version(), confirmedAt, hostTime()));
      }
    }

    private void check() {
      if (!freshness.mayActOn(inForce, hostTime())) {
        return;
      }
      actions++;
      model
          .commitTime(inForce + 1)
          .ifPresent(
              replacedAt -> {
                if (replacedAt < model.now() - MAX_AGE_MILLIS) {
                  throw new AssertionError(
                      "seed "
                          + seed
                          + ": acts on version "
                          + inForce
                          + " at "
                          + model.now()
                          + ", but its successor was committed at "
                          + replacedAt);
                }
              });
    }

    private long delayed() {
      return model.now() + random.nextInt(maxDelayMillis);
    }

    private long hostTime() {
      return model.now() + CLOCK_LEAD_MILLIS;
    }
  }

  /** A message, and when it arrives. */
  private record Sent<T>(T content, long arrivesAt) {}
}
