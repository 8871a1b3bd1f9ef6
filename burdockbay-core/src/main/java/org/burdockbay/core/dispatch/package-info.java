/**
 * The dispatcher of a failure domain: queueing, admission, placement, limits, retries, hedging, and
 * the recovery of running work after the loss of an earlier dispatcher.
 *
 * <p>{@link org.burdockbay.core.dispatch.Dispatcher} handles {@link
 * org.burdockbay.core.dispatch.DispatchEvent}s and returns {@link
 * org.burdockbay.core.dispatch.DispatchEffect}s.
 */
package org.burdockbay.core.dispatch;
