package org.burdockbay.core.agreement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests {@link FaultMargin} and {@link FaultTolerance}. */
public class FaultMarginTest {

  private static final VoterId A1 = new VoterId("a1", 1);
  private static final VoterId A2 = new VoterId("a2", 1);
  private static final VoterId B1 = new VoterId("b1", 1);
  private static final VoterId B2 = new VoterId("b2", 1);
  private static final VoterId C1 = new VoterId("c1", 1);

  /** Guards against losses that are said to be borne although no quorum would remain. */
  @Test
  public void countsOnlyLossesThatLeaveQuorum() {
    List<VoterId> five = List.of(A1, A2, B1, B2, C1);
    assertEquals(margin(five, five), new FaultMargin(2, 1));
    assertEquals(margin(five, List.of(A1, B1, B2, C1)), new FaultMargin(1, 0));
    assertEquals(margin(five, List.of(A1, A2, B1, B2)), new FaultMargin(1, 0));
    assertEquals(margin(five, List.of(A1, B1, C1)), new FaultMargin(0, 0));
    assertEquals(margin(five, List.of(A1, B1)), FaultMargin.NO_QUORUM);
    assertEquals(margin(List.of(), List.of()), FaultMargin.NO_QUORUM);
  }

  /** Guards against a domain whose loss takes the quorum although single hosts may be lost. */
  @Test
  public void countsVotersOfDomainTogether() {
    List<VoterId> three = List.of(A1, A2, B1);
    assertEquals(margin(three, three), new FaultMargin(1, 0));
    assertFalse(margin(three, three).bears(FaultTolerance.DEFAULT));
    assertTrue(margin(three, three).bears(new FaultTolerance(1, 0)));
  }

  /** Guards against a margin that holds only once a change of the voters is committed. */
  @Test
  public void countsWhatLatestAndCommittedVotersBear() {
    VoterSet committed = new VoterSet(List.of(A1, B1, C1, A2), List.of(B2));
    VoterSet latest = committed.withVoter(B2);
    FaultMargin margin =
        FaultMargin.of(latest, committed, voter -> true, voter -> voter.host().substring(0, 1));
    assertEquals(margin, new FaultMargin(1, 0));
  }

  /** Guards against a tolerance that no number of voters can bear. */
  @Test
  public void rejectsToleranceOutOfRange() {
    assertThrows(IllegalArgumentException.class, () -> new FaultTolerance(-1, 0));
    assertThrows(IllegalArgumentException.class, () -> new FaultTolerance(0, 17));
    assertEquals(new FaultTolerance(2, 1).minVoterCount(), 5);
    assertEquals(new FaultTolerance(0, 1).minVoterCount(), 3);
  }

  private static FaultMargin margin(List<VoterId> voters, List<VoterId> available) {
    return FaultMargin.of(
        new VoterSet(voters, List.of()),
        available::contains,
        voter -> voter.host().substring(0, 1));
  }
}
