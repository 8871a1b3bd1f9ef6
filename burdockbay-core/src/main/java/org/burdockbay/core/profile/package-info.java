/** What dispatchers learn about upstreams and kinds of tasks from the runs that have ended. */
package org.burdockbay.core.profile;
