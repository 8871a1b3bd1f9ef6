/** The command-line program: entry point, the interface of its commands, and exit codes. */
package org.burdockbay.app;
