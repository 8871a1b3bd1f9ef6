/**
 * The entry host's part in serving work: it keeps each caller's request until the outcome comes,
 * whichever dispatcher that comes from.
 */
package org.burdockbay.core.intake;
