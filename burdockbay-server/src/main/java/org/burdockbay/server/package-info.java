/** The server around the core: settings, storage, transport, HTTP, metrics and wiring. */
package org.burdockbay.server;
