/**
 * The entry side of a host, which routes each submission to a dispatcher and answers its caller
 * once.
 */
package org.burdockbay.core.entry;
