/** Structured logging: one line of key=value pairs per event. */
package org.burdockbay.server.logging;
