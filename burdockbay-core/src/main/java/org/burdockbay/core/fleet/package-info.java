/** Registry of announced upstreams: soft state that is rebuilt from their announcements. */
package org.burdockbay.core.fleet;
