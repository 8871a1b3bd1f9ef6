/** Queues and services as one published document with a version. */
package org.burdockbay.core.catalog;
