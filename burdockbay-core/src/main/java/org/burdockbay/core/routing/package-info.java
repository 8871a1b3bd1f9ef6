/**
 * Selection of the shard that serves a piece of work.
 *
 * <p>Entry hosts select by the loads that dispatchers report in their heartbeats. All state is in
 * the memory of the entry host; see docs/design/predictive-routing.md.
 */
package org.burdockbay.core.routing;
