/**
 * Types that describe work whose tasks need processor, memory and accelerators.
 *
 * <p>All types are immutable and independent of any transport.
 */
package org.burdockbay.core.work;
