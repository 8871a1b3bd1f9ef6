/**
 * Dispatch of sized tasks to upstreams that run them under leases.
 *
 * <p>An upstream runs the tasks that it was ordered to start until its lease expires, which the
 * dispatcher keeps renewing. One host dispatches each {@linkplain org.burdockbay.core.shard shard}
 * of the fleet at a time in each connected part of the network. The upstreams enforce this with the
 * fencing token that every order carries. {@link org.burdockbay.core.lease.LeaseDispatcher} is the
 * entry point: it takes events with the time and returns effects, and has no clock, socket or
 * thread of its own.
 */
package org.burdockbay.core.lease;
