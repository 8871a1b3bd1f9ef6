package org.burdockbay.server.host;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.burdockbay.core.control.ControlCommand;
import org.burdockbay.core.control.ControlReply;
import org.burdockbay.core.evacuation.Evacuations;
import org.burdockbay.server.logging.EventLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the evacuations in force on a host, and orders that compete with others. */
public class EvacuationKeeperTest {

  private final List<ControlCommand> proposed = new ArrayList<>();
  private final List<Consumer<ControlReply>> open = new ArrayList<>();
  private final List<Evacuations> inForce = new ArrayList<>();
  private final List<ControlReply> replies = new ArrayList<>();
  private EvacuationKeeper keeper;
  private long now;

  /** Creates a keeper that knows version 3. */
  @BeforeMethod
  public void setUp() {
    List.of(proposed, open, inForce, replies).forEach(List::clear);
    now = 1_000;
    keeper =
        new EvacuationKeeper(
            (command, callback) -> {
              proposed.add(command);
              open.add(callback);
            },
            inForce::add,
            new EventLog("test"),
            () -> now);
    keeper.offer(new Evacuations(3, Set.of("a")), "log");
  }

  /** Guards against a host with an old state that reverts the evacuations when it reconnects. */
  @Test
  public void keepsNewerVersion() {
    keeper.offer(new Evacuations(2, Set.of()), "10.0.0.1");
    keeper.offer(new Evacuations(3, Set.of()), "10.0.0.1");
    assertEquals(keeper.current(), new Evacuations(3, Set.of("a")));
    assertEquals(inForce.size(), 1);
  }

  /** Guards against refusing an order at a host that doesn't know the newest version yet. */
  @Test
  public void proposesAgainOnNewerVersion() {
    keeper.change("b", true, replies::add);
    open.removeFirst().accept(new ControlReply.VersionConflict(5));
    open.removeFirst().accept(new ControlReply.Accepted(6));
    assertEquals(
        proposed,
        List.of(
            new ControlCommand.ChangeEvacuation("b", true, 3),
            new ControlCommand.ChangeEvacuation("b", true, 5)));
    assertEquals(replies, List.of(new ControlReply.Accepted(6)));
  }

  /** Guards against an order that takes effect behind its successor. */
  @Test
  public void dropsOrderThatIsTooOldForNewerVersion() {
    keeper.change("b", true, replies::add);
    now += EvacuationKeeper.ORDER_VALIDITY_MILLIS;
    open.removeFirst().accept(new ControlReply.VersionConflict(5));
    assertEquals(proposed.size(), 1);
    assertEquals(replies, List.of(new ControlReply.VersionConflict(5)));
  }
}
