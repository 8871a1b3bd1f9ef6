/** The dependency injection of a host, with Dagger. */
package org.burdockbay.server.wiring;
