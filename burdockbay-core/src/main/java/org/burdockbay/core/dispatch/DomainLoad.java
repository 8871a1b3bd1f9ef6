package org.burdockbay.core.dispatch;

/**
 * The load of a failure domain, as its dispatcher reports it.
 *
 * @param freeSlots free slots that no waiting task will take
 * @param waitMillis predicted wait of a task that arrives now, in milliseconds
 * @param totalSlots usable slots, free or not; 0 if unknown
 */
public record DomainLoad(int freeSlots, long waitMillis, int totalSlots) {

  /** Creates the load of a dispatcher that doesn't report its total. */
  public DomainLoad(int freeSlots, long waitMillis) {
    this(freeSlots, waitMillis, 0);
  }
}
