/**
 * Division of a large fleet of upstreams among several dispatchers.
 *
 * <p>One dispatcher holds the leases of all upstreams as long as one host can handle them. A larger
 * fleet is divided into shards, each within one failure domain and with its own dispatcher. All
 * functions depend only on state that hosts exchange, so that all hosts compute the same division.
 */
package org.burdockbay.core.shard;
