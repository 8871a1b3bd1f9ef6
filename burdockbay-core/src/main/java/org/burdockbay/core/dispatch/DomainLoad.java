package org.burdockbay.core.dispatch;

/**
 * The load of a failure domain, as its dispatcher reports it.
 *
 * @param freeSlots free slots that no waiting task will take
 * @param waitMillis predicted wait of a task that arrives now, in milliseconds
 */
public record DomainLoad(int freeSlots, long waitMillis) {}
