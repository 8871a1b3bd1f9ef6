/** Open-loop load generation, and queueing models of the same arrivals to compare with. */
package org.burdockbay.bench.load;
