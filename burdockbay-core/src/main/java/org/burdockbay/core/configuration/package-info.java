/**
 * The configuration document: its schema, its validation and its typed representation.
 *
 * <p>Schemas validate the configuration and the settings of a host, and the reference page is
 * generated from them, so it always matches the validation.
 */
package org.burdockbay.core.configuration;
