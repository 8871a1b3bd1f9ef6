/** Messages between hosts, independent of their encoding. */
package org.burdockbay.core.message;
