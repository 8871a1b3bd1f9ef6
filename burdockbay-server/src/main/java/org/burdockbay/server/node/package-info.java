/**
 * A host that serves work on leased upstreams: it finds the other hosts from a few seeds, and wires
 * the parts of the core to transport, storage and upstreams.
 */
package org.burdockbay.server.node;
