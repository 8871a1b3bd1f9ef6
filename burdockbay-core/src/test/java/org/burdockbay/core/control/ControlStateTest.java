package org.burdockbay.core.control;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Compare-and-set of the configuration. */
public class ControlStateTest {

  /**
   * Two operators edit the same version and apply at the same moment. Without compare-and-set the
   * later one silently undoes the other's change; exactly one may win, and the other must hear it.
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
   * An operator's answer is lost, another operator changes the document, and the first resends. It
   * must hear that its change was accepted, and must not put the old document back in force.
   */
  @Test
  public void repeatsReplyToResentChange() {
    ControlState state = new ControlState();
    state.apply(applyConfiguration("one", 0, "a"), 1);
    state.apply(applyConfiguration("two", 1, "b"), 1);
    assertEquals(state.apply(applyConfiguration("one", 0, "a"), 1), new ControlReply.Accepted(1));
    assertEquals(state.configuration().orElseThrow().text(), "b");
  }

  /** The history is bounded and the newest version always stays. */
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
