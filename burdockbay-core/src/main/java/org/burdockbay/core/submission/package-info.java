/** Identities, requests and outcomes of submissions. */
package org.burdockbay.core.submission;
