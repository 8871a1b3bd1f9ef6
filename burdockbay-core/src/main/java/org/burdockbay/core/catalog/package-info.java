/** The catalog: the versioned document that defines the queues and their services. */
package org.burdockbay.core.catalog;
