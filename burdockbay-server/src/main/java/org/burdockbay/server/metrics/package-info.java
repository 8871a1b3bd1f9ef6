/** Metrics of a host and their text format for scraping. */
package org.burdockbay.server.metrics;
