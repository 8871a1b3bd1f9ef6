/** The commands of the command-line program. */
package org.burdockbay.app.command;
