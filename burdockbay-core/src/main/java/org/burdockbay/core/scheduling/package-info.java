/**
 * Options of the scheduling in a fleet that is divided into shards.
 *
 * <p>The parts that they switch on are in the packages of their concerns.
 */
package org.burdockbay.core.scheduling;
