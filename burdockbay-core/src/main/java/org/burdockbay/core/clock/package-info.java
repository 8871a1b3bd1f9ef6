/** Source of the current time, in milliseconds. */
package org.burdockbay.core.clock;
