/** Liveness of hosts and election of dispatchers by failure domain and shard. */
package org.burdockbay.core.membership;
