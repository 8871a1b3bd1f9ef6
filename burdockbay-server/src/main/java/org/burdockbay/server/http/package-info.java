/** HTTP APIs for callers, runners and operators. */
package org.burdockbay.server.http;
