/** Bounds on what other parties can make a host hold in memory. */
package org.burdockbay.core.limits;
