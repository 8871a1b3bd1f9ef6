package org.burdockbay.core.control;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests compare-and-set and history of the configuration. */
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

  private static ControlCommand applyConfiguration(String id, long expected, String text) {
    return new ControlCommand.ApplyConfiguration(id, "operator", expected, text);
  }
}
