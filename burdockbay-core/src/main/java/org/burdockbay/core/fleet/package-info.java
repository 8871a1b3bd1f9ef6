/** The upstreams that have announced themselves: soft state, rebuilt from announcements. */
package org.burdockbay.core.fleet;
