/**
 * Handling of callers' work at the entry host: holds each request until its outcome arrives,
 * whichever dispatcher reports it.
 */
package org.burdockbay.core.intake;
