package org.burdockbay.core.catalog;

import java.util.OptionalLong;

/**
 * What the leader of the agreement group knows about the newest accepted catalog.
 *
 * <p>The receiver relates the leader's clock to its own by the echo: the leader sends back the
 * latest time that the receiver has stated. A message that waits in a queue or on a link thereby
 * doesn't appear newer than it is.
 *
 * @param version newest accepted version
 * @param ageMillis time since a quorum confirmed that no other leader had accepted a newer one, in
 *     milliseconds; empty if none has yet
 * @param echoedSentAtMillis latest time that the receiver has stated in a message to the leader, in
 *     milliseconds of the receiver's clock; empty if none has arrived
 * @param echoAgeMillis time since that message arrived, in milliseconds
 */
public record CatalogConfirmation(
    long version, OptionalLong ageMillis, OptionalLong echoedSentAtMillis, long echoAgeMillis) {

  /**
   * Returns the time before which no newer version had been accepted, in milliseconds of the
   * receiver's clock; empty if it isn't known.
   *
   * @param arrivedAt when the confirmation arrived at the receiver
   */
  public OptionalLong confirmedAt(long arrivedAt) {
    if (ageMillis.isEmpty() || echoedSentAtMillis.isEmpty()) {
      return OptionalLong.empty();
    }
    long sentAt = Math.min(arrivedAt, echoedSentAtMillis.getAsLong() + echoAgeMillis);
    return OptionalLong.of(sentAt - ageMillis.getAsLong());
  }
}
