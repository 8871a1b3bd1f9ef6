/**
 * A host that serves work on leased upstreams: it discovers the other hosts through a few seeds,
 * and connects the parts of the core to transport, storage and upstreams.
 */
package org.burdockbay.server.node;
