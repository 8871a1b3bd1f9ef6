/**
 * A host: the control thread, which owns all control state, and the components of the core that run
 * on it.
 */
package org.burdockbay.server.host;
