/** Reference implementation of the runner protocol for tests and load, with fault injection. */
package org.burdockbay.bench.runner;
