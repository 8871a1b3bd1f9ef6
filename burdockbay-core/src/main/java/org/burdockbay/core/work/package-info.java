/**
 * Vocabulary of work whose tasks ask for processor, memory and accelerators.
 *
 * <p>Everything here is immutable and knows no transport.
 */
package org.burdockbay.core.work;
