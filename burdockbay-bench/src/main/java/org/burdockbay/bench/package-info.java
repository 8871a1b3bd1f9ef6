/** Benchmarks and load generation, and stand-ins for the systems around burdockbay. */
package org.burdockbay.bench;
