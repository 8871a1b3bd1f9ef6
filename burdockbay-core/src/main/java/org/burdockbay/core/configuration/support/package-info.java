/** Readers of configuration text that are based on a third-party library. */
package org.burdockbay.core.configuration.support;
