/** The settings of a host: its identity, addresses, limits, data folder and peers. */
package org.burdockbay.server.settings;
