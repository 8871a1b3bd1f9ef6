package org.burdockbay.core.control;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.burdockbay.core.FuzzOptions;
import org.burdockbay.core.evacuation.Evacuations;
import org.testng.annotations.Test;

/** Tests compare-and-set and history of the configuration, and the evacuations. */
public class ControlStateTest {

  /**
   * Guards against a lost update: two operators apply changes based on the same version, and the
   * later change silently replaces the earlier one instead of being rejected.
   */
  @Test
  public void rejectsSecondOfTwoConcurrentChanges() {
    ControlState state = new ControlState();
    assertEquals(state.apply(applyConfiguration("one", 0, "a"), 1), new ControlReply.Accepted(1));
    assertEquals(
        state.apply(applyConfiguration("two", 0, "b"), 1), new ControlReply.VersionConflict(1));
    assertEquals(state.configuration().orElseThrow().text(), "a");
  }

  /**
   * Guards against a resent change that is rejected or reverts a newer one: the reply to a change
   * is lost, another operator changes the document, and the first operator resends.
   */
  @Test
  public void repeatsReplyToResentChange() {
    ControlState state = new ControlState();
    state.apply(applyConfiguration("one", 0, "a"), 1);
    state.apply(applyConfiguration("two", 1, "b"), 1);
    assertEquals(state.apply(applyConfiguration("one", 0, "a"), 1), new ControlReply.Accepted(1));
    assertEquals(state.configuration().orElseThrow().text(), "b");
  }

  /** Guards against unbounded growth of the history and against losing the newest version. */
  @Test
  public void limitsRetainedVersions() {
    ControlState state = new ControlState();
    for (int i = 0; i < 100; i++) {
      state.apply(applyConfiguration("change " + i, i, "text " + i), 1);
    }
    assertEquals(state.history().size(), ControlState.MAX_RETAINED_VERSIONS);
    assertEquals(state.configuration().orElseThrow().version(), 100);
    ControlState copy = new ControlState();
    copy.restore(state.image());
    assertEquals(copy.image(), state.image());
  }

  /** Guards against refusing an order that is sent again because its reply was lost. */
  @Test
  public void acceptsResentEvacuation() {
    ControlState state = new ControlState();
    assertEquals(state.apply(evacuate("a", true, 0), 1), new ControlReply.Accepted(1));
    assertEquals(state.apply(evacuate("a", true, 0), 1), new ControlReply.Accepted(1));
    assertEquals(state.apply(evacuate("b", false, 0), 1), new ControlReply.Accepted(1));
    assertEquals(state.evacuations(), new Evacuations(1, Set.of("a")));
  }

  /** Guards against a late copy of an evacuation that takes effect after its withdrawal. */
  @Test
  public void rejectsLateCopyOfWithdrawnEvacuation() {
    ControlState state = new ControlState();
    state.apply(evacuate("a", true, 0), 1);
    state.apply(evacuate("a", false, 1), 1);
    assertEquals(state.apply(evacuate("a", true, 0), 1), new ControlReply.VersionConflict(2));
    assertEquals(state.evacuations(), new Evacuations(2, Set.of()));
  }

  /** Guards against losing or reviving an evacuation by late copies and snapshots. */
  @Test
  public void keepsNewestAcceptedEvacuationThroughResendsAndSnapshots() {
    for (int run = 0; run < 200; run++) {
      long seed = FuzzOptions.seed() + run;
      simulateEvacuations(seed, new SplittableRandom(seed));
    }
  }

  private static void simulateEvacuations(long seed, SplittableRandom random) {
    ControlState state = new ControlState();
    List<ControlCommand.ChangeEvacuation> sent = new ArrayList<>();
    Set<String> expected = new HashSet<>();
    for (int step = 0; step < 200; step++) {
      String domain = List.of("a", "b", "c").get(random.nextInt(3));
      ControlCommand.ChangeEvacuation next =
          evacuate(domain, random.nextBoolean(), state.evacuations().version());
      sent.add(next);
      if (random.nextInt(3) == 0) {
        ControlCommand.ChangeEvacuation late = sent.get(random.nextInt(sent.size()));
        Evacuations before = state.evacuations();
        state.apply(late, step);
        boolean current = late.expectedVersion() == before.version();
        assertEquals(
            state.evacuations(),
            current && before.contains(late.domain()) != late.evacuated()
                ? before.with(late.domain(), late.evacuated())
                : before,
            "seed " + seed);
        apply(expected, current ? late : null);
      } else {
        assertEquals(
            state.apply(next, step),
            new ControlReply.Accepted(state.evacuations().version()),
            "seed " + seed);
        apply(expected, next);
      }
      if (random.nextInt(10) == 0) {
        ControlState copy = new ControlState();
        copy.restore(state.image());
        state = copy;
      }
      assertEquals(state.evacuations().domains(), expected, "seed " + seed);
    }
  }

  private static void apply(Set<String> domains, ControlCommand.ChangeEvacuation change) {
    if (change != null && change.evacuated()) {
      domains.add(change.domain());
    } else if (change != null) {
      domains.remove(change.domain());
    }
  }

  private static ControlCommand.ChangeEvacuation evacuate(
      String domain, boolean evacuated, long expected) {
    return new ControlCommand.ChangeEvacuation(domain, evacuated, expected);
  }

  private static ControlCommand applyConfiguration(String id, long expected, String text) {
    return new ControlCommand.ApplyConfiguration(id, "operator", expected, text);
  }
}
