/**
 * The ledger of submissions that must run at most once, as a deterministic state machine.
 *
 * <p>Every voter applies the commands of the agreement log in the same order.
 */
package org.burdockbay.core.ledger;
