/** The closed set of error kinds and the base class of the checked exceptions. */
package org.burdockbay.core.error;
