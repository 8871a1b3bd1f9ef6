/** Calls to runners over HTTP. */
package org.burdockbay.server.runner;
