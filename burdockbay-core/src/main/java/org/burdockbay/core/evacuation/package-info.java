/** The agreed set of failure domains whose upstreams get no new tasks. */
package org.burdockbay.core.evacuation;
