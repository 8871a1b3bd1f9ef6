/** Shares of scarce capacity: the order in which flows of waiting work are served. */
package org.burdockbay.core.share;
