/** Announcements of runners, and the status and outcomes of their attempts. */
package org.burdockbay.core.runner;
