/**
 * How a large fleet of upstreams is divided among several dispatchers.
 *
 * <p>One dispatcher keeps the leases of all upstreams as long as one host can carry that. A larger
 * fleet is divided into shards, each of them within a failure domain and with a dispatcher of its
 * own. Everything here is a pure function of what hosts tell each other, so that all of them come
 * to the same division.
 */
package org.burdockbay.core.shard;
