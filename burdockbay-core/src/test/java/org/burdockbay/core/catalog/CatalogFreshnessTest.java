package org.burdockbay.core.catalog;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import org.testng.annotations.Test;

/** Tests {@link CatalogFreshness}. */
public class CatalogFreshnessTest {

  private static final long START = 10_000;
  private static final long MAX_AGE = 2_000;
  private static final long SILENCE = CatalogFreshness.LEADER_SILENCE_MILLIS;

  /** Guards against acting on a version that other hosts had at the start of this one. */
  @Test
  public void actsOnNothingBeforeConfirmation() {
    CatalogFreshness started = new CatalogFreshness(MAX_AGE, START);
    started.putInForce(1);
    started.leaderHeard(START + 10);
    checkSilence(started, START, START + SILENCE);
    assertFalse(started.mayActOn(1, START + SILENCE));
    started.handleConfirmation(1, START + SILENCE, START + SILENCE + 2);
    assertTrue(started.mayActOn(1, START + SILENCE + 2));
  }

  /** Guards against acting on a version beyond its bound while the leader's messages are late. */
  @Test
  public void actsOnConfirmedVersionForLimitedTime() {
    CatalogFreshness confirmed = new CatalogFreshness(MAX_AGE, START);
    confirmed.putInForce(1);
    confirmed.handleConfirmation(1, START, START + 1_000);
    confirmed.leaderHeard(START + 3_000);
    checkSilence(confirmed, START + 2_000, START + 3_000);
    assertTrue(confirmed.mayActOn(1, START + MAX_AGE));
    assertFalse(confirmed.mayActOn(1, START + MAX_AGE + 1));
  }

  /** Guards against renewing the use of a version by a confirmation of its successor. */
  @Test
  public void actsOnOldVersionNoLongerThanBeforeItsSuccessor() {
    CatalogFreshness outdated = new CatalogFreshness(MAX_AGE, START);
    outdated.putInForce(1);
    outdated.handleConfirmation(1, START, START);
    outdated.handleConfirmation(2, START + 1_500, START + 1_500);
    assertFalse(outdated.mayActOn(1, START + MAX_AGE + 1));
    outdated.putInForce(2);
    assertTrue(outdated.mayActOn(2, START + 1_500 + MAX_AGE));
    assertFalse(outdated.mayActOn(1, START + 1_500), "version 1 is replaced");
  }

  /** Guards against refusing callers for a series of changes that come into force in time. */
  @Test
  public void actsOnEachVersionOfSeries() {
    CatalogFreshness changing = new CatalogFreshness(MAX_AGE, START);
    changing.putInForce(1);
    for (int version = 2; version < 200; version++) {
      long now = START + version * 100L;
      changing.handleConfirmation(version - 1, now, now);
      changing.handleAnnouncement(version, now);
      assertTrue(changing.mayActOn(version - 1, now + 90), "version " + (version - 1));
      changing.putInForce(version - 1);
    }
  }

  /** Guards against refusing callers while no leader can be reached. */
  @Test
  public void actsOnVersionWhileLeaderIsSilent() {
    CatalogFreshness cutOff = new CatalogFreshness(MAX_AGE, START);
    cutOff.putInForce(1);
    cutOff.handleConfirmation(1, START, START);
    for (long now = START; now < START + 20_000; now += 25) {
      if (cutOff.needsSilenceCheck(now)) {
        cutOff.silenceChecked(now, now + 10);
      }
      assertTrue(cutOff.mayActOn(1, now));
    }
  }

  /** Guards against taking the silence of connections that a late host has closed for an outage. */
  @Test
  public void refusesCallersOfDelayedHostThatHearsNoLeader() {
    CatalogFreshness delayed = new CatalogFreshness(MAX_AGE, START);
    delayed.putInForce(1);
    delayed.handleConfirmation(1, START, START);
    for (long now = START; now < START + 10_000; now += 400) {
      checkSilence(delayed, now, now + 100);
      delayed.silenceChecked(now + 100, now + 400);
    }
    assertFalse(delayed.mayActOn(1, START + MAX_AGE + 1));
    checkSilence(delayed, START + 10_000, START + 10_000 + SILENCE + 50);
    assertTrue(delayed.mayActOn(1, START + 10_000 + SILENCE));
  }

  /** Guards against acting on a version known to be replaced because no leader can be reached. */
  @Test
  public void refusesReplacedVersionWhileLeaderIsSilent() {
    CatalogFreshness cutOff = new CatalogFreshness(MAX_AGE, START);
    cutOff.putInForce(1);
    cutOff.handleConfirmation(1, START, START);
    cutOff.handleAnnouncement(2, START + 100);
    checkSilence(cutOff, START + 4_000, START + 5_000);
    assertFalse(cutOff.mayActOn(1, START + 100 + MAX_AGE + 1));
  }

  /** Guards against taking the delay of a queue for the age of a confirmation. */
  @Test
  public void countsConfirmationFromWhenLeaderSentIt() {
    CatalogConfirmation confirmation =
        new CatalogConfirmation(1, OptionalLong.of(120), OptionalLong.of(START), 30);
    assertEquals(confirmation.confirmedAt(START + 9_000), OptionalLong.of(START + 30 - 120));
    assertEquals(confirmation.confirmedAt(START + 5), OptionalLong.of(START + 5 - 120));
  }

  /** Guards against a confirmation by a leader that hasn't heard of this host's clock. */
  @Test
  public void countsNoConfirmationWithoutEcho() {
    assertTrue(
        new CatalogConfirmation(1, OptionalLong.of(1), OptionalLong.empty(), 0)
            .confirmedAt(START)
            .isEmpty());
    assertTrue(
        new CatalogConfirmation(1, OptionalLong.empty(), OptionalLong.of(START), 0)
            .confirmedAt(START)
            .isEmpty());
  }

  private static void checkSilence(CatalogFreshness freshness, long from, long to) {
    for (long now = from; now <= to; now += 25) {
      freshness.silenceChecked(now, now + 10);
    }
  }
}
