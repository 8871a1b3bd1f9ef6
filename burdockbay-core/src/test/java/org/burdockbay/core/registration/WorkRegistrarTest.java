package org.burdockbay.core.registration;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.burdockbay.core.registration.WorkRegistrar.Decision;
import org.burdockbay.core.shard.ShardId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the decisions of the registrar about registrations of work. */
public class WorkRegistrarTest {

  private static final long MAX_LEASE = 775;
  private static final long MAX_ORPHANED_RUN = 1_225;
  private static final long RETRY_DELAY = 1_000;

  private static final ShardId EAST = new ShardId("east", 0);
  private static final ShardId NORTH = new ShardId("north", 0);
  private static final ShardId SOUTH = new ShardId("south", 0);
  private static final ShardDispatcher SELF = new ShardDispatcher("self", 1);
  private static final ShardDispatcher FIRST = new ShardDispatcher("first", 1);
  private static final ShardDispatcher SECOND = new ShardDispatcher("second", 1);

  private WorkRegistrar registrar;

  /**
   * Work whose registrar is the dispatcher of {@link #EAST}, with or without that of the others.
   */
  private String work;

  /** Creates a registrar that has known all dispatchers for long. */
  @BeforeMethod
  public void setUp() {
    registrar = new WorkRegistrar("self", MAX_LEASE, MAX_ORPHANED_RUN, RETRY_DELAY);
    registrar.updateDispatchers(Map.of(EAST, SELF, NORTH, FIRST, SOUTH, SECOND), 0);
    work = workOf(Map.of(EAST, SELF, NORTH, FIRST, SOUTH, SECOND), SELF);
  }

  private static String workOf(
      Map<ShardId, ShardDispatcher> dispatchers, ShardDispatcher registrar) {
    for (int i = 0; ; i++) {
      if (WorkRegistrar.registrarOf("w" + i, dispatchers).orElseThrow().equals(registrar)) {
        return "w" + i;
      }
    }
  }

  private static List<Decision> confirmed(ShardDispatcher dispatcher, String work, long quiet) {
    return List.of(new Decision.Confirmed(dispatcher, work, quiet));
  }

  private static List<Decision> deferred(ShardDispatcher dispatcher, String work, String holder) {
    return List.of(new Decision.Deferred(dispatcher, work, holder, false));
  }

  /** Guards against two dispatchers that run one piece of work at a time. */
  @Test
  public void confirmsSecondDispatcherOnlyOnceFirstHasDeregistered() {
    assertEquals(registrar.register(FIRST, work, false, 5_000), confirmed(FIRST, work, 0));
    assertEquals(registrar.register(SECOND, work, false, 5_010), deferred(SECOND, work, "first"));
    assertEquals(registrar.deregister(FIRST, work, 5_500), confirmed(SECOND, work, 0));
  }

  /** Guards against starts while runs of a lost dispatcher go on under their leases. */
  @Test
  public void delaysStartsOfNextDispatcherUntilLeasesOfLostOneHaveExpired() {
    registrar.register(FIRST, work, false, 5_000);
    registrar.register(SECOND, work, false, 5_010);
    assertEquals(
        registrar.updateDispatchers(Map.of(EAST, SELF, SOUTH, SECOND), 6_000),
        confirmed(SECOND, work, MAX_LEASE));
  }

  /** Guards against a confirmation before the holder has registered with its new registrar. */
  @Test
  public void confirmsNewWorkOnlyAfterOthersHaveRegisteredTheirs() {
    Map<ShardId, ShardDispatcher> before = Map.of(NORTH, FIRST, SOUTH, SECOND);
    registrar.updateDispatchers(before, 10_000);
    registrar.updateDispatchers(Map.of(EAST, SELF, NORTH, FIRST, SOUTH, SECOND), 20_000);
    registrar.updateDispatchers(
        Map.of(EAST, SELF, NORTH, FIRST, SOUTH, new ShardDispatcher("second", 2)), 20_005);
    assertEquals(registrar.register(SECOND, work, false, 20_010), deferred(SECOND, work, ""));
    assertEquals(registrar.register(FIRST, work, true, 20_100), confirmed(FIRST, work, 0));
    assertEquals(registrar.tick(20_300), List.of());
  }

  /** Guards against work that is never confirmed after a change of dispatchers. */
  @Test
  public void confirmsWaitingWorkOnceSettled() {
    registrar.updateDispatchers(Map.of(NORTH, FIRST, SOUTH, SECOND), 10_000);
    registrar.updateDispatchers(Map.of(EAST, SELF, NORTH, FIRST, SOUTH, SECOND), 20_000);
    registrar.register(SECOND, work, false, 20_010);
    assertEquals(registrar.tick(20_199), List.of());
    assertEquals(registrar.tick(20_200).size(), 1);
  }

  /** Guards against a waiting dispatcher that starts since the holder's registrar has changed. */
  @Test
  public void confirmsNobodyForWorkOfOtherRegistrars() {
    String other = workOf(Map.of(EAST, SELF, NORTH, FIRST, SOUTH, SECOND), FIRST);
    assertEquals(registrar.register(SECOND, other, false, 5_000), deferred(SECOND, other, ""));
    registrar.updateDispatchers(Map.of(EAST, SELF, SOUTH, SECOND), 6_000);
    registrar.updateDispatchers(Map.of(EAST, SELF, NORTH, FIRST, SOUTH, SECOND), 7_000);
    assertEquals(registrar.deregister(SECOND, other, 7_010), List.of());
  }

  /** Guards against work that a lost removal blocks for good. */
  @Test
  public void dropsRegistrationThatIsNoLongerRepeated() {
    registrar.register(FIRST, work, false, 5_000);
    registrar.register(SECOND, work, false, 5_010);
    assertEquals(registrar.tick(8_000), List.of());
    assertEquals(registrar.tick(8_001), confirmed(SECOND, work, 0));
  }

  /** Guards against runs on the other side of a partition that the registrar can't know of. */
  @Test
  public void delaysStartsOfNewWorkWhileShardHasNoDispatcher() {
    registrar.updateDispatchers(Map.of(EAST, SELF, SOUTH, SECOND), 6_000);
    assertEquals(
        registrar.register(SECOND, work, false, 9_000),
        confirmed(SECOND, work, MAX_ORPHANED_RUN - RETRY_DELAY));
  }

  /** Guards against a late message of an earlier tenure that takes the work from the later one. */
  @Test
  public void ignoresRegistrationOfEarlierTenure() {
    registrar.register(new ShardDispatcher("first", 2), work, false, 5_000);
    assertEquals(registrar.register(FIRST, work, false, 5_010), List.of());
  }
}
